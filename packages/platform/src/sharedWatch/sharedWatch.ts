/** Watches the store, or follows the watch of another router of the availability zone. */

import { now, type PortEvent, type Timestamp } from "@cardamomglade/common";
import { isLater } from "../storePosition.js";
import type {
  KeyValue,
  RangeResult,
  StorePosition,
  WatchChange,
  WatchedChanges,
  WatchEvent,
  WatchHandle,
  WatchOptions,
} from "../types.js";
import {
  createHistory,
  recordChanges,
  recordList,
  type ChangeHistory,
} from "./changeHistory.js";
import { chooseWatchSource } from "./chooseWatchSource.js";
import {
  defaultHeartbeatMs,
  followTimeoutMs,
  minFollowTimeoutMs,
  routerAvoidanceMs,
  valueReadTimeoutMs,
} from "./constants.js";
import { FollowerServer } from "./followerServer.js";
import { followRouter, type Follow } from "./followRouter.js";
import type {
  ChangesMessage,
  RouterAddress,
  SharedMessage,
  SharedOutcomes,
  SharedWatchLimits,
  SharingRouter,
  WatchSource,
} from "./types.js";

type WatchedStore = Pick<KeyValue, "range" | "watch">;

/** Options of a shared watch. */
export interface SharedWatchOptions {
  readonly store: WatchedStore;
  readonly router: string;
  readonly zone: string;
  /** Where this router accepts followers. */
  readonly address: RouterAddress;
  /** Undefined while the time limits are too short for a detour. */
  readonly limits: () => SharedWatchLimits | undefined;
  /** Called when the source of the watch changes, with the reason. */
  readonly onSource: (source: WatchSource, reason: string) => void;
  /** Called when the followed router tells when the store last confirmed its entries. */
  readonly onConfirmed: (router: string, confirmedAt: Timestamp) => void;
  /** Called with outcomes of other routers' requests. */
  readonly onOutcomes: (outcomes: readonly SharedOutcomes[]) => void;
  /** Called with what happens to the port on which this router accepts followers. */
  readonly onPortEvent: (event: PortEvent) => void;
}

/** A list of all entries that no watch started from yet. */
interface UnusedList {
  readonly result: RangeResult;
  readonly sentAt: Timestamp;
}

/** The watch under way. */
interface ActiveWatch {
  readonly key: string;
  readonly onEvent: (event: WatchEvent) => void;
  source: WatchSource;
  position: StorePosition;
  handle: WatchHandle | undefined;
  /** The connection to the followed router. */
  follow: Follow | undefined;
  /** Time by which a router has to confirm the entries; undefined while the source is good. */
  confirmBy: Timestamp | undefined;
  /** Whether routers were left since the last confirmation, maybe as the store does not answer. */
  isDoubted: boolean;
}

const isSameSource = (a: WatchSource, b: WatchSource): boolean => {
  if (a.type === "store" || b.type === "store") return a.type === b.type;
  return a.router === b.router;
};

/** A watch of the store's entries whose source may change while it runs. */
export class SharedWatch implements WatchedStore {
  private routers: readonly SharingRouter[] = [];
  private history: ChangeHistory | undefined;
  private unusedList: UnusedList | undefined;
  private active: ActiveWatch | undefined;
  private readonly avoidedUntil = new Map<string, Timestamp>();
  private readonly server: FollowerServer;

  private constructor(private readonly options: SharedWatchOptions) {
    const { address, limits, onPortEvent, onOutcomes } = options;
    this.server = FollowerServer.create({
      address,
      onPortEvent,
      onOutcomes,
      heartbeatMs: () => limits()?.heartbeatMs ?? defaultHeartbeatMs,
      history: () => this.history,
      isRouter: (host) =>
        this.routers.some((one) => one.address?.host === host),
      onFirstFollower: () => {
        this.restart("other routers follow this one");
      },
      onBehind: () => {
        this.listAgain();
      },
    });
  }

  static create(options: SharedWatchOptions): SharedWatch {
    return new SharedWatch(options);
  }

  /** Returns the number of routers that follow this one. */
  followerCount(): number {
    return this.server.count();
  }

  /** Returns where the entries come from now. */
  source(): WatchSource {
    return this.active?.source ?? { type: "store" };
  }

  /** Sets the registered routers. */
  setRouters(routers: readonly SharingRouter[]): void {
    this.routers = routers;
  }

  async range(
    ...args: Parameters<WatchedStore["range"]>
  ): ReturnType<WatchedStore["range"]> {
    const sentAt = now();
    const outcome = await this.options.store.range(...args);
    if (outcome.type === "done")
      this.unusedList = { result: outcome.value, sentAt };
    return outcome;
  }

  watch(
    key: string,
    { after }: WatchOptions,
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle {
    this.useList(after);
    const watch: ActiveWatch = {
      key,
      onEvent,
      source: this.active?.source ?? { type: "store" },
      position: after,
      handle: undefined,
      follow: undefined,
      confirmBy: undefined,
      isDoubted: false,
    };
    this.active?.handle?.close();
    this.active = watch;
    this.begin(watch, this.choose(), "");
    return {
      close: () => {
        watch.handle?.close();
        if (this.active === watch) this.active = undefined;
      },
    };
  }

  /** Tells the routers of the zone how requests of this one ended. */
  share(outcomes: readonly SharedOutcomes[]): void {
    this.active?.follow?.share(outcomes);
    this.server.share(outcomes);
  }

  /** Ends the watch and the connections to followers. */
  stop(): void {
    this.active?.handle?.close();
    this.active = undefined;
    this.server.close();
  }

  /** Shares the list from which a watch starts; one that the caller passed over is not shared. */
  private useList({ era, revision }: StorePosition): void {
    const { unusedList: list, history } = this;
    this.unusedList = undefined;
    if (list?.result.era !== era || list.result.revision !== revision) return;
    const { result, sentAt } = list;
    this.history =
      history === undefined
        ? createHistory(result, sentAt)
        : recordList(history, result, sentAt);
    this.server.publish();
  }

  /** Ends a watch of the store that may be in an earlier era, so that the entries are listed. */
  private listAgain(): void {
    const { active } = this;
    if (active?.source.type !== "store" || active.handle === undefined) return;
    active.handle.close();
    active.handle = undefined;
    active.onEvent({ type: "restored", era: active.position.era });
  }

  private choose(): WatchSource {
    if (this.options.limits() === undefined) return { type: "store" };
    const { router, zone } = this.options;
    const { routers, avoidedUntil } = this;
    return chooseWatchSource({
      router,
      zone,
      routers,
      avoidedUntil,
      hasFollowers: this.server.count() > 0,
      at: now(),
    });
  }

  /** The source after a router that was left: another one as long as there is time to try it. */
  private chooseNext({ confirmBy = Infinity }: ActiveWatch): WatchSource {
    return confirmBy - now() < minFollowTimeoutMs
      ? { type: "store" }
      : this.choose();
  }

  private restart(reason: string): void {
    const { active } = this;
    if (active === undefined) return;
    active.handle?.close();
    this.begin(active, this.choose(), reason);
  }

  private begin(watch: ActiveWatch, source: WatchSource, reason: string): void {
    if (!isSameSource(source, watch.source))
      this.options.onSource(source, reason);
    watch.source = source;
    watch.follow = undefined;
    if (source.type === "store") watch.confirmBy = undefined;
    const limits = this.options.limits();
    watch.handle =
      source.type === "store" || limits === undefined
        ? this.watchStore(watch)
        : this.follow(watch, source, limits);
  }

  private watchStore(watch: ActiveWatch): WatchHandle {
    const handle = this.options.store.watch(
      watch.key,
      {
        prefix: true,
        after: watch.position,
        // Followers that have come from another router wait for it, or this router itself.
        isConfirmedAtOnce: this.server.count() > 0 || watch.isDoubted,
      },
      (event) => {
        if (this.active !== watch || watch.handle !== handle) return;
        if (event.type === "changes") {
          watch.isDoubted = false;
          this.apply(watch, event, now());
        } else watch.onEvent(event);
        this.followIfPossible(watch, handle);
      },
    );
    return handle;
  }

  /** Moves a watch of the store to another router's as soon as there is one to follow. */
  private followIfPossible(watch: ActiveWatch, handle: WatchHandle): void {
    if (this.active !== watch || watch.handle !== handle) return;
    const source = this.choose();
    if (source.type === "store") return;
    handle.close();
    this.begin(watch, source, "it watches for this zone");
  }

  private apply(
    watch: ActiveWatch,
    event: WatchedChanges,
    confirmedAt: Timestamp,
  ): void {
    if (this.history !== undefined)
      recordChanges(this.history, event, confirmedAt);
    if (isLater(event, watch.position)) watch.position = event;
    this.server.publish();
    watch.onEvent(event);
  }

  private follow(
    watch: ActiveWatch,
    source: Extract<WatchSource, { readonly type: "router" }>,
    limits: SharedWatchLimits,
  ): WatchHandle {
    let received = Promise.resolve();
    const at = now();
    watch.confirmBy ??= at + followTimeoutMs;
    const leave = (reason: string) => {
      if (this.active !== watch || watch.handle !== handle) return;
      this.avoidedUntil.set(source.router, now() + routerAvoidanceMs);
      watch.isDoubted = true;
      const next = this.chooseNext(watch);
      this.begin(watch, next, `${source.router}: ${reason}`);
    };
    const quit = (reason: string) => {
      follow.close();
      leave(reason);
    };
    const follow = followRouter({
      address: source.address,
      after: watch.position,
      limits,
      confirmTimeoutMs: watch.confirmBy - at,
      onConfirmed: () => {
        watch.confirmBy = undefined;
        watch.isDoubted = false;
      },
      // Long values are read in between, so each message waits for the one before.
      onMessage: (message) => {
        const receivedAt = now();
        received = received
          .then(async () => {
            if (this.active !== watch || watch.handle !== handle) return;
            await this.receive(watch, message, receivedAt, quit);
          })
          .catch((error: unknown) => {
            quit(error instanceof Error ? error.message : String(error));
          });
      },
      onLost: leave,
    });
    const handle: WatchHandle = {
      close: () => {
        follow.close();
      },
    };
    watch.follow = follow;
    return handle;
  }

  private async receive(
    watch: ActiveWatch,
    message: SharedMessage,
    receivedAt: Timestamp,
    leave: (reason: string) => void,
  ): Promise<void> {
    if (message.type === "outcomes") {
      this.options.onOutcomes(message.outcomes);
      return;
    }
    if (message.type === "behind") {
      leave("it is in an earlier era of the store");
      return;
    }
    if (message.type === "compacted") {
      const { revision } = watch.position;
      watch.handle?.close();
      watch.onEvent({ type: "compacted", compactRevision: revision });
      return;
    }
    const { handle } = watch;
    const changes = await this.readLongValues(message, receivedAt);
    if (this.active !== watch || watch.handle !== handle) return;
    if (changes === undefined) {
      // Another router would leave the value out as well.
      watch.confirmBy = receivedAt;
      leave("a long value could not be read from the store");
      return;
    }
    const { era, revision, ageMs } = message;
    const event = { type: "changes" as const, era, revision, changes };
    const confirmedAt = receivedAt - ageMs;
    if (watch.source.type === "router")
      this.options.onConfirmed(watch.source.router, confirmedAt);
    this.apply(watch, event, confirmedAt);
  }

  private async readLongValues(
    message: ChangesMessage,
    receivedAt: Timestamp,
  ): Promise<WatchChange[] | undefined> {
    const read: WatchChange[] = [];
    for (const change of message.changes) {
      if (change.type !== "putWithoutValue") {
        read.push(change);
        continue;
      }
      const deadline = receivedAt + valueReadTimeoutMs;
      const options = { prefix: false, deadline };
      const outcome = await this.options.store.range(change.key, options);
      if (outcome.type !== "done") return undefined;
      if (outcome.value.era !== message.era) return undefined;
      const entry = outcome.value.entries.find(({ key }) => key === change.key);
      // A missing entry was deleted since; the deletion follows as a change.
      if (entry !== undefined) read.push({ type: "put", entry });
    }
    return read;
  }
}
