/** Keeps the claims of non-repeatable calls in the key-value service. */

import { createHash } from "node:crypto";
import { createChannel, Ran, now } from "@cardamomglade/common";
import {
  judgeClaim,
  type ClaimOutcome,
  type ClaimRecord,
  type ClaimRequest,
  type RecordedAnswer,
} from "@cardamomglade/decisions";
import type { KeyValue, KeyValueEntry } from "@cardamomglade/platform";
import type { RouterCommandOf, RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const recordTimeoutMs = 5000;

interface OpenClaim {
  readonly key: string;
  readonly claim: ClaimRequest;
}

const hashOf = (text: string): string =>
  createHash("sha256").update(text).digest("hex");

const recordOf = (entry: KeyValueEntry | undefined): ClaimRecord | undefined =>
  entry === undefined ? undefined : (JSON.parse(entry.value) as ClaimRecord);

/** Drives claims: created before the call goes out, answered after it. */
export const createLedgerDriver = (
  keyValue: KeyValue,
  prefix: string,
  keyLifetimeMs: number,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const open = new Map<string, OpenClaim>();

  const readBack = async (
    key: string,
    claim: ClaimRequest,
  ): Promise<ClaimOutcome> => {
    const read = await keyValue.range(key, {
      prefix: false,
      deadline: claim.deadline,
    });
    if (read.type !== "done") return { type: "unknown" };
    const found = recordOf(read.value.entries[0]);
    // An unseen claim may still be on its way, so it is not proof.
    return found === undefined ? { type: "unknown" } : judgeClaim(claim, found);
  };

  const claimCall = async (
    command: RouterCommandOf<"claimCall">,
  ): Promise<ClaimOutcome> => {
    const { requestId, deadline, body } = command;
    const key = `${prefix}ledger/${command.customer}/${hashOf(command.key)}`;
    const claim: ClaimRequest = {
      requestId,
      key: command.key,
      bodyHash: hashOf(body),
      deadline,
    };
    open.set(requestId, { key, claim });
    const record: ClaimRecord = {
      type: "claimed",
      requestId,
      bodyHash: claim.bodyHash,
      expiresAt: now() + keyLifetimeMs,
    };
    const outcome = await keyValue.transact(
      {
        compare: [{ type: "createRevision", key, revision: 0 }],
        success: [{ type: "put", key, value: JSON.stringify(record) }],
        failure: [{ type: "read", key }],
      },
      deadline,
    );
    if (outcome.type === "refused") return { type: "notRun", ran: Ran.No };
    if (outcome.type === "unknown") return readBack(key, claim);
    if (outcome.value.succeeded) return { type: "run" };
    const found = recordOf(outcome.value.reads[0]?.[0]);
    return found === undefined ? { type: "unknown" } : judgeClaim(claim, found);
  };

  const recordAnswer = async (
    requestId: string,
    answer: RecordedAnswer,
  ): Promise<void> => {
    const claimed = open.get(requestId);
    open.delete(requestId);
    if (claimed === undefined) return;
    const { key, claim } = claimed;
    const record: ClaimRecord = {
      type: "answered",
      requestId,
      bodyHash: claim.bodyHash,
      expiresAt: now() + keyLifetimeMs,
      answer,
    };
    await keyValue.transact(
      {
        compare: [],
        success: [{ type: "put", key, value: JSON.stringify(record) }],
        failure: [],
      },
      now() + recordTimeoutMs,
    );
  };

  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type === "recordAnswer")
        void recordAnswer(command.requestId, command.answer);
      if (command.type !== "claimCall") return;
      const { requestId } = command;
      void claimCall(command).then((outcome) => {
        channel.push({
          type: "claimResolved",
          at: now(),
          requestId,
          outcome,
        });
      });
    },
    stop: () => Promise.resolve(),
  };
};
