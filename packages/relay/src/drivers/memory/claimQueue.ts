/** Claims that wait for room in a memory budget. */

import { now, type Timestamp } from "@cardamomglade/common";
import { isLarge } from "../../decisions/memory/countBytes.js";
import { Holder } from "../../decisions/memory/types.js";
import type { Holding } from "./holding.js";

/** Room that a holding needs by a time. */
export interface Claim {
  readonly holding: Holding;
  /** What the bytes are held for once there is room. */
  readonly holder: Holder;
  readonly bytes: number;
  readonly until: Timestamp;
  /** Whether a part of it has arrived, and is held already. */
  readonly isRest?: boolean;
  readonly onDecided: (hasRoom: boolean) => void;
}

/** What a budget says to a claim. */
export interface ClaimJudge {
  /** Takes the bytes if there is room. */
  tryClaim(claim: Claim): boolean;
  /** Whether there is room once nothing else is held. */
  mayFit(claim: Claim): boolean;
}

/** Claims of one kind get room in the order in which they came, those of the first kind first. */
enum ClaimKind {
  /** The rest of an answer of which a part has arrived; each that fits goes on. */
  AnswerRest,
  SmallAnswer,
  LargeAnswer,
  SmallRequest,
  LargeRequest,
}

const checkMs = 50;

const kindOf = ({ holder, bytes, isRest = false }: Claim): ClaimKind => {
  if (isRest) return ClaimKind.AnswerRest;
  if (holder === Holder.ArrivingAnswer)
    return isLarge(bytes) ? ClaimKind.LargeAnswer : ClaimKind.SmallAnswer;
  return isLarge(bytes) ? ClaimKind.LargeRequest : ClaimKind.SmallRequest;
};

/** Claims of one budget. */
export class ClaimQueue {
  private readonly claims = new Set<Claim>();
  private timer: NodeJS.Timeout | undefined;
  private willDecide = false;

  private constructor(private readonly judge: ClaimJudge) {}

  static create(judge: ClaimJudge): ClaimQueue {
    return new ClaimQueue(judge);
  }

  /** Decides a claim at once, or by its time; returns whether it was at once. */
  add(claim: Claim): boolean {
    if (this.decideNow(claim)) return true;
    this.claims.add(claim);
    this.timer ??= setInterval(() => {
      this.decide();
    }, checkMs).unref();
    return false;
  }

  /** Decides soon, since there is more room. */
  decideSoon(): void {
    if (this.claims.size === 0 || this.willDecide) return;
    this.willDecide = true;
    setImmediate(() => {
      this.willDecide = false;
      this.decide();
    });
  }

  private decideNow(claim: Claim): boolean {
    if (!this.judge.mayFit(claim)) {
      claim.onDecided(false);
      return true;
    }
    if (this.hasEarlier(claim) || !this.judge.tryClaim(claim)) return false;
    claim.onDecided(true);
    return true;
  }

  private hasEarlier(claim: Claim): boolean {
    const kind = kindOf(claim);
    if (kind === ClaimKind.AnswerRest) return false;
    for (const one of this.claims)
      if (one.holding.isOpen && kindOf(one) === kind) return true;
    return false;
  }

  /** Lets claims in, and refuses those that find no room and whose time is over. */
  private decide(): void {
    const blocked = new Set<ClaimKind>();
    const inOrder = [...this.claims].sort(
      (one, other) => kindOf(one) - kindOf(other),
    );
    for (const claim of inOrder) {
      const kind = kindOf(claim);
      if (!claim.holding.isOpen) {
        this.claims.delete(claim);
      } else if (!blocked.has(kind) && this.judge.tryClaim(claim)) {
        this.settle(claim, true);
      } else if (now() >= claim.until || !this.judge.mayFit(claim)) {
        this.settle(claim, false);
      } else if (kind !== ClaimKind.AnswerRest) {
        blocked.add(kind);
      }
    }
    if (this.claims.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private settle(claim: Claim, hasRoom: boolean): void {
    this.claims.delete(claim);
    claim.onDecided(hasRoom);
  }
}
