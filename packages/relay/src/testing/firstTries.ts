/** Test harness: callers that try once at each router, and how often they were served. */

import type { Timestamp } from "@cardamomglade/common";
import type { Fleet } from "./fleet.js";
import { idempotentPath, nonIdempotentPath, streamPath } from "./scenario.js";

/** A caller's first try at a router. */
export interface FirstTry {
  readonly router: string;
  readonly at: Timestamp;
  readonly key: string;
  readonly path: string;
}

/** Requests between two of a kind at one router, of which a caller sends one to each path. */
const intervalMs = 150;
const stepMs = 25;
const paths = [idempotentPath, nonIdempotentPath, streamPath];

/** Shares of first tries that were served, and the share of all that failed. */
export interface Served {
  readonly atCut: number;
  readonly atOthers: number;
  readonly failed: number;
}

/** Callers that send their first tries to all routers, evenly. */
export class FirstTries {
  readonly tries: FirstTry[] = [];
  private nextPath = 0;

  private constructor(private readonly fleet: Fleet) {}

  static create(fleet: Fleet): FirstTries {
    return new FirstTries(fleet);
  }

  /** Sends requests to all routers for a time. */
  run(ms: number): void {
    const { fleet } = this;
    const until = fleet.at + ms;
    const routers = [...fleet.states.keys()];
    while (fleet.at < until) {
      const step = Math.round(fleet.at / stepMs);
      routers.forEach((router, index) => {
        if ((step + index) % (intervalMs / stepMs) !== 0) return;
        this.nextPath += 1;
        const path = paths[this.nextPath % paths.length] ?? streamPath;
        const { at } = fleet;
        const key = fleet.request(router, [], path);
        this.tries.push({ router, at, key, path });
      });
      fleet.advance(stepMs);
    }
  }

  /** How the tries of a span were served, at the given routers and at the others. */
  served(
    cut: readonly string[],
    from: Timestamp,
    until: Timestamp = Infinity,
  ): Served {
    const tries = this.tries.filter(({ at }) => at >= from && at < until);
    const isServed = ({ key }: FirstTry) =>
      this.fleet.endings.get(key) === "whole";
    const shareOf = (some: readonly FirstTry[]) =>
      some.filter(isServed).length / Math.max(1, some.length);
    return {
      atCut: shareOf(tries.filter(({ router }) => cut.includes(router))),
      atOthers: shareOf(tries.filter(({ router }) => !cut.includes(router))),
      failed: 1 - shareOf(tries),
    };
  }
}
