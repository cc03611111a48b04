/** Many membership folds on a virtual clock, with the mesh's codec between them. */

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

const tickMs = 50;
const frameBytes = 6;
const startAt = 1_000_000;

/** What a network is made of. */
export interface MemberNetworkOptions {
  readonly members: number;
  readonly zones: number;
  readonly seed: number;
  /** Share of messages that are lost. */
  readonly loss?: number;
  readonly heartbeat?: HeartbeatPayload;
}

/** A change of status as one member saw it. */
export interface SeenChange {
  readonly at: number;
  readonly by: string;
  readonly router: string;
  readonly status: MemberStatus;
}

interface Node {
  readonly name: string;
  readonly state: MembershipState;
  readonly phaseMs: number;
  isAlive: boolean;
  frozenUntil: number;
  bytes: number;
  readonly inbox: { readonly at: number; readonly event: MembershipEvent }[];
}

interface Envelope {
  readonly at: number;
  readonly to: string;
  readonly event: () => MembershipEvent | undefined;
}

/** Name of the member with an index. */
export const memberName = (index: number): string => `m${String(index)}`;

const urlOf = (name: string): string => `ws://${name}`;

/** The network; time passes only in `run`. */
export class MemberNetwork {
  readonly changes: SeenChange[] = [];
  readonly nodes = new Map<string, Node>();
  now = startAt;
  private generator: RandomState;
  private envelopes: Envelope[] = [];
  private isCut: (a: string, b: string) => boolean = () => false;

  private constructor(private readonly options: MemberNetworkOptions) {
    this.generator = seedRandom(options.seed);
  }

  /** Members that know the address of the first two only. */
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
      phaseMs: Math.floor(this.random() * tickMs),
      isAlive: true,
      frozenUntil: 0,
      bytes: 0,
      inbox: [],
    };
    this.nodes.set(name, node);
    this.tell(node, {
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

  /** Cuts the pairs that the predicate names; links over the cut are lost. */
  cut(isCut: (a: string, b: string) => boolean): void {
    this.isCut = isCut;
    for (const { name: a } of this.nodes.values())
      for (const { name: b } of this.nodes.values())
        if (a < b && isCut(a, b)) this.unlink(a, b);
  }

  /** Lets time pass. */
  run(forMs: number): void {
    const end = this.now + forMs;
    for (; this.now < end; this.now += 1) {
      this.deliver();
      for (const node of this.nodes.values()) this.tick(node);
    }
  }

  /** Status of one member in the view of another. */
  seen(by: string, router: string): MemberStatus | undefined {
    return this.node(by).state.members.get(router)?.record.status;
  }

  /** Whether every living member sees exactly the living members as alive. */
  isConverged(): boolean {
    const living = [...this.nodes.values()].filter(({ isAlive }) => isAlive);
    return living.every(({ name: by }) =>
      [...this.nodes.values()].every(
        ({ name, isAlive }) =>
          name === by ||
          (this.seen(by, name) === MemberStatus.Alive) === isAlive,
      ),
    );
  }

  private node(name: string): Node {
    const found = this.nodes.get(name);
    if (found === undefined) throw new Error(`no member "${name}"`);
    return found;
  }

  private random(): number {
    const drawn = nextRandom(this.generator);
    this.generator = drawn.state;
    return drawn.value;
  }

  private tick(node: Node): void {
    if ((this.now + node.phaseMs) % tickMs !== 0 || !this.isRunning(node))
      return;
    for (const { event } of node.inbox.splice(0))
      this.tell(node, { ...event, at: this.now });
    const heartbeat = this.options.heartbeat ?? { revision: 1, demand: [] };
    this.tell(node, { type: "timePassed", at: this.now, heartbeat });
  }

  private isRunning({ isAlive, frozenUntil }: Node): boolean {
    return isAlive && this.now >= frozenUntil;
  }

  private tell(node: Node, event: MembershipEvent): void {
    const { commands } = decideMembership(node.state, event);
    for (const command of commands) this.perform(node, command);
  }

  private perform(node: Node, command: MembershipCommand): void {
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
    from.bytes += bytes.length + frameBytes;
    if (this.random() < (this.options.loss ?? 0)) return;
    const delayMs = 1 + Math.floor(this.random() * 4);
    this.envelopes.push({
      at: this.now + delayMs,
      to,
      event: () => {
        if (this.isCut(from.name, to)) return undefined;
        const gossip = decodeMessage(bytes);
        return gossip?.type === "gossip"
          ? { type: "gossipReceived", at: this.now, peer: from.name, gossip }
          : undefined;
      },
    });
  }

  private deliver(): void {
    const due = this.envelopes.filter(({ at }) => at <= this.now);
    if (due.length === 0) return;
    this.envelopes = this.envelopes.filter(({ at }) => at > this.now);
    for (const { to, event } of due) {
      const node = this.nodes.get(to);
      const heard = event();
      if (node?.isAlive === true && heard !== undefined) this.hear(node, heard);
    }
  }

  // A frozen member hears everything when it runs again.
  private hear(node: Node, event: MembershipEvent): void {
    if (this.isRunning(node)) this.tell(node, event);
    else node.inbox.push({ at: this.now, event });
  }

  private link(a: string, b: string): void {
    const [one, other] = [this.nodes.get(a), this.nodes.get(b)];
    if (one === undefined || other === undefined || a === b) return;
    if (!one.isAlive || !other.isAlive || this.isCut(a, b)) return;
    if (one.state.links.has(b)) return;
    one.state.links.add(b);
    other.state.links.add(a);
    this.hear(one, { type: "linked", at: this.now, peer: b });
    this.hear(other, { type: "linked", at: this.now, peer: a });
  }

  private unlink(a: string, b: string): void {
    for (const [name, peer] of [
      [a, b],
      [b, a],
    ] as const) {
      const node = this.node(name);
      if (!node.state.links.delete(peer) || !node.isAlive) continue;
      this.hear(node, { type: "lost", at: this.now, peer });
    }
  }
}
