/** Test harness: routers that are cut from replicas, while callers and other routers reach them. */

import type { VirtualClock } from "./virtualClock.js";

/** What the cut does: connections hang, are reset and refused, or live on while new ones hang. */
export type PathCut = "silent" | "reset" | "newOnly";

interface CutPath {
  readonly how: PathCut;
  /** Service whose replicas are cut off; all if undefined. */
  readonly service: string | undefined;
  /** What replicas sent meanwhile; it arrives when the cut ends. */
  readonly held: (() => void)[];
}

/** The cut paths of a fleet, by router. */
export class CutPaths {
  private readonly byRouter = new Map<string, CutPath>();

  private constructor(private readonly clock: VirtualClock) {}

  static create(clock: VirtualClock): CutPaths {
    return new CutPaths(clock);
  }

  /** Cuts a router from the replicas of a service, or of all. */
  cut(router: string, how: PathCut, service?: string): void {
    this.byRouter.set(router, { how, service, held: [] });
  }

  /** Ends the cut of a router. */
  heal(router: string): void {
    const held = this.byRouter.get(router)?.held ?? [];
    this.byRouter.delete(router);
    for (const deliver of held) deliver();
  }

  /** How a router is cut from the replicas of a service; undefined if it is not. */
  cutOf(router: string, service: string): PathCut | undefined {
    const path = this.byRouter.get(router);
    const isCut = path?.service === undefined || path.service === service;
    return isCut ? path?.how : undefined;
  }

  /** Delivers what a replica sends to a router, or holds it back until the cut ends. */
  deliver(router: string, service: string, deliver: () => void): void {
    const path = this.byRouter.get(router);
    if (path !== undefined && this.cutOf(router, service) === "silent")
      path.held.push(deliver);
    else deliver();
  }

  /** Calls back when a new connection to a replica is known to fail; returns whether it fails. */
  failConnection(
    router: string,
    service: string,
    timeoutMs: number,
    onFailure: (isRefused: boolean) => void,
  ): boolean {
    const how = this.cutOf(router, service);
    if (how === undefined) return false;
    const isRefused = how === "reset";
    this.clock.later(isRefused ? 1 : timeoutMs, () => {
      onFailure(isRefused);
    });
    return true;
  }
}
