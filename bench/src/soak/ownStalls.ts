/** Records when the soak's own process stood still, so that late answers can be traced. */

import type { OwnStall } from "./types.js";

const intervalMs = 50;
const minLateMs = 150;

/** Records stalls until `stop`. */
export class OwnStalls {
  readonly stalls: OwnStall[] = [];
  private dueAt = Date.now() + intervalMs;
  private readonly timer = setInterval(() => {
    const at = Date.now();
    const lateMs = at - this.dueAt;
    if (lateMs >= minLateMs) this.stalls.push({ at, lateMs });
    this.dueAt = at + intervalMs;
  }, intervalMs);

  private constructor() {
    // Created by `create`.
  }

  static create(): OwnStalls {
    return new OwnStalls();
  }

  stop(): void {
    clearInterval(this.timer);
  }
}
