/** Simulates a network of membership state machines on a virtual clock; messages pass through the real codec. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";
import {
  createMembership,
  decideMembership,
  type HeartbeatPayload,
  type MembershipCommand,
  type MembershipEvent,
  type MembershipState,
} from "@cardamomglade/decisions";
import { decodeMessage, encodeMessage } from "@cardamomglade/peers";
import { MemberStatus, type Gossip } from "@cardamomglade/schema";

const tickIntervalMs = 50;
const frameOverheadBytes = 6;
const startTimestampMs = 1_000_000;

/** Size, message loss and seed of a simulated network. */
export interface MemberNetworkOptions {
  readonly members: number;
  readonly zones: number;
  readonly seed: number;
  /** Fraction of messages that are lost. */
  readonly loss?: number;
  readonly heartbeat?: HeartbeatPayload;
}

/** A status change, as observed by one member. */
export interface StatusChange {
  readonly at: number;
  readonly by: string;
  readonly router: string;
  readonly status: MemberStatus;
}

interface Node {
  readonly name: string;
  readonly state: MembershipState;
  readonly tickOffsetMs: number;
  isAlive: boolean;
  frozenUntil: number;
  bytes: number;
  readonly inbox: { readonly at: number; readonly event: MembershipEvent }[];
}

interface PendingMessage {
  readonly at: number;
  readonly to: string;
  readonly event: () => MembershipEvent | undefined;
}

/** Returns the name of the member with an index. */
export const memberName = (index: number): string => `m${String(index)}`;

const urlOf = (name: string): string => `ws://${name}`;

/** A simulated network; its clock advances only in `run`. */
export class MemberNetwork {
  readonly changes: StatusChange[] = [];
  readonly nodes = new Map<string, Node>();
  now = startTimestampMs;
  private generator: RandomState;
  private pendingMessages: PendingMessage[] = [];
  private isPartitioned: (a: string, b: string) => boolean = () => false;

  private constructor(private readonly options: MemberNetworkOptions) {
    this.generator = seedRandom(options.seed);
  }

  /** Creates members that know only the addresses of the first two. */
  static create(options: MemberNetworkOptions): MemberNetwork {
    const network = new MemberNetwork(options);
    for (let index = 0; index < options.members; index += 1)
      network.join(index);
    return network;
  }

  join(index: number): void {
    const name = memberName(index);
    const zone = `zone-${String(index % this.options.zones)}`;
    const region = index % this.options.zones < 3 ? "region-1" : "region-2";
    const state = createMembership({ name, host: name, zone, region });
    const node: Node = {
      name,
      state,
      tickOffsetMs: Math.floor(this.random() * tickIntervalMs),
      isAlive: true,
      frozenUntil: 0,
      bytes: 0,
      inbox: [],
    };
    this.nodes.set(name, node);
    this.applyEvent(node, {
      type: "listening",
      at: this.now,
      url: urlOf(name),
      callersUrl: `http://${name}:8080`,
      administrationUrl: `http://${name}:8081`,
    });
    for (const seed of [memberName(0), memberName(1)])
      if (seed !== name) this.link(name, seed);
  }

  kill(name: string): void {
    this.node(name).isAlive = false;
    for (const other of this.nodes.values()) this.unlink(name, other.name);
  }

  freeze(name: string, forMs: number): void {
    this.node(name).frozenUntil = this.now + forMs;
  }

  /** Partitions the network between the pairs for which the predicate is true; their links are lost. */
  partition(isPartitioned: (a: string, b: string) => boolean): void {
    this.isPartitioned = isPartitioned;
    for (const { name: a } of this.nodes.values())
      for (const { name: b } of this.nodes.values())
        if (a < b && isPartitioned(a, b)) this.unlink(a, b);
  }

  /** Advances the clock. */
  run(forMs: number): void {
    const end = this.now + forMs;
    for (; this.now < end; this.now += 1) {
      this.deliverDueMessages();
      for (const node of this.nodes.values()) this.tick(node);
    }
  }

  /** Returns the status of `router` in the view of `by`. */
  statusSeenBy(by: string, router: string): MemberStatus | undefined {
    return this.node(by).state.members.get(router)?.record.status;
  }

  /** Whether every live member sees exactly the live members as alive. */
  isConverged(): boolean {
    const liveMembers = [...this.nodes.values()].filter(
      ({ isAlive }) => isAlive,
    );
    return liveMembers.every(({ name: by }) =>
      [...this.nodes.values()].every(
        ({ name, isAlive }) =>
          name === by ||
          (this.statusSeenBy(by, name) === MemberStatus.Alive) === isAlive,
      ),
    );
  }

  private node(name: string): Node {
    const found = this.nodes.get(name);
    if (found === undefined) throw new Error(`network has no member "${name}"`);
    return found;
  }

  private random(): number {
    const drawn = nextRandom(this.generator);
    this.generator = drawn.state;
    return drawn.value;
  }

  private tick(node: Node): void {
    if (
      (this.now + node.tickOffsetMs) % tickIntervalMs !== 0 ||
      !this.isRunning(node)
    )
      return;
    for (const { event } of node.inbox.splice(0))
      this.applyEvent(node, { ...event, at: this.now });
    const heartbeat = this.options.heartbeat ?? { revision: 1, demand: [] };
    this.applyEvent(node, { type: "timerTicked", at: this.now, heartbeat });
  }

  private isRunning({ isAlive, frozenUntil }: Node): boolean {
    return isAlive && this.now >= frozenUntil;
  }

  private applyEvent(node: Node, event: MembershipEvent): void {
    const { commands } = decideMembership(node.state, event);
    for (const command of commands) this.executeCommand(node, command);
  }

  private executeCommand(node: Node, command: MembershipCommand): void {
    switch (command.type) {
      case "send":
        this.send(node, command.peer, command.message);
        return;
      case "connect":
        this.link(node.name, command.url.slice("ws://".length));
        return;
      case "changed": {
        const { router, status } = command;
        this.changes.push({ at: this.now, by: node.name, router, status });
        return;
      }
      case "forget":
    }
  }

  private send(from: Node, to: string, message: Gossip): void {
    if (!from.state.links.has(to)) this.link(from.name, to);
    const bytes = encodeMessage(message);
    from.bytes += bytes.length + frameOverheadBytes;
    if (this.random() < (this.options.loss ?? 0)) return;
    const delayMs = 1 + Math.floor(this.random() * 4);
    this.pendingMessages.push({
      at: this.now + delayMs,
      to,
      event: () => {
        if (this.isPartitioned(from.name, to)) return undefined;
        const gossip = decodeMessage(bytes);
        return gossip?.type === "gossip"
          ? { type: "gossipReceived", at: this.now, peer: from.name, gossip }
          : undefined;
      },
    });
  }

  private deliverDueMessages(): void {
    const dueMessages = this.pendingMessages.filter(({ at }) => at <= this.now);
    if (dueMessages.length === 0) return;
    this.pendingMessages = this.pendingMessages.filter(
      ({ at }) => at > this.now,
    );
    for (const { to, event } of dueMessages) {
      const node = this.nodes.get(to);
      const received = event();
      if (node?.isAlive === true && received !== undefined)
        this.deliverEvent(node, received);
    }
  }

  // Events for a frozen member are queued until it runs again.
  private deliverEvent(node: Node, event: MembershipEvent): void {
    if (this.isRunning(node)) this.applyEvent(node, event);
    else node.inbox.push({ at: this.now, event });
  }

  private link(a: string, b: string): void {
    const [one, other] = [this.nodes.get(a), this.nodes.get(b)];
    if (one === undefined || other === undefined || a === b) return;
    if (!one.isAlive || !other.isAlive || this.isPartitioned(a, b)) return;
    if (one.state.links.has(b)) return;
    one.state.links.add(b);
    other.state.links.add(a);
    this.deliverEvent(one, { type: "linked", at: this.now, peer: b });
    this.deliverEvent(other, { type: "linked", at: this.now, peer: a });
  }

  private unlink(a: string, b: string): void {
    for (const [name, peer] of [
      [a, b],
      [b, a],
    ] as const) {
      const node = this.node(name);
      if (!node.state.links.delete(peer) || !node.isAlive) continue;
      this.deliverEvent(node, { type: "lost", at: this.now, peer });
    }
  }
}
