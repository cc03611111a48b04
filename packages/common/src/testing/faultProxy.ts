/** Test harness: a loopback TCP proxy that injects network faults. */

import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { resetSocket } from "./resetSocket.js";

/** Network faults of a proxied link. */
export enum LinkState {
  Good = "good",
  /** Every chunk is delayed. */
  Slow = "slow",
  /** Open and new connections are reset. */
  Reset = "reset",
  /** Bytes are dropped silently in both directions; connections that lost bytes stay silent after the fault. */
  Silent = "silent",
  /** Requests are forwarded, responses are dropped silently. */
  OneWay = "oneWay",
}

const linkDelayMs = 60;

interface ProxiedConnection {
  readonly caller: Socket;
  readonly server: Socket;
  /** Directions in which bytes may have been dropped: nothing may be forwarded there any more, or the stream would have a gap. */
  isRequestPathDead: boolean;
  isResponsePathDead: boolean;
}

/** One direction of all connections. */
interface Direction {
  /** Number of holds in force. */
  holdCount: number;
  /** What was sent meanwhile, in order. */
  readonly held: (() => void)[];
}

const hold = async (
  direction: Direction,
  durationMs: number,
): Promise<void> => {
  direction.holdCount += 1;
  await sleep(durationMs);
  direction.holdCount -= 1;
  if (direction.holdCount > 0) return;
  for (const forward of direction.held.splice(0)) forward();
};

/** Forwards connections to a port, which may change. */
export class FaultProxy {
  private link = LinkState.Good;
  private readonly requests: Direction = { holdCount: 0, held: [] };
  private readonly responses: Direction = { holdCount: 0, held: [] };
  private readonly connections = new Set<ProxiedConnection>();
  private readonly listener = createServer((caller) => {
    this.open(caller);
  });

  private constructor(private target: number) {}

  static async create(target: number): Promise<FaultProxy> {
    const proxy = new FaultProxy(target);
    await new Promise<void>((resolve) => {
      proxy.listener.listen(0, "127.0.0.1", resolve);
    });
    return proxy;
  }

  get port(): number {
    return (this.listener.address() as AddressInfo).port;
  }

  /** Forwards new connections to another port. */
  setTarget(port: number): void {
    this.target = port;
  }

  set(link: LinkState): void {
    this.link = link;
    for (const connection of this.connections) {
      if (link === LinkState.Reset) this.reset(connection);
      connection.isRequestPathDead ||= link === LinkState.Silent;
      connection.isResponsePathDead ||=
        link === LinkState.Silent || link === LinkState.OneWay;
    }
  }

  /** Silences all open connections for good; new ones work. */
  silenceOpen(): void {
    this.set(LinkState.Silent);
    this.set(LinkState.Good);
  }

  /** Holds back all that both ends send and do, for a time, and then forwards it: nothing is lost. */
  async hold(durationMs: number): Promise<void> {
    await Promise.all([
      hold(this.requests, durationMs),
      hold(this.responses, durationMs),
    ]);
  }

  /** Holds back only what is behind the proxy sends and does, for a time; requests and new connections reach it. */
  async holdResponses(durationMs: number): Promise<void> {
    await hold(this.responses, durationMs);
  }

  stop(): void {
    for (const connection of this.connections) this.reset(connection);
    this.listener.close();
  }

  private reset({ caller, server }: ProxiedConnection): void {
    resetSocket(caller);
    resetSocket(server);
  }

  private open(caller: Socket): void {
    if (this.link === LinkState.Reset) {
      resetSocket(caller);
      return;
    }
    const server = connect(this.target, "127.0.0.1");
    const connection: ProxiedConnection = {
      caller,
      server,
      isRequestPathDead: this.link === LinkState.Silent,
      isResponsePathDead:
        this.link === LinkState.Silent || this.link === LinkState.OneWay,
    };
    this.connections.add(connection);
    this.forward(
      caller,
      server,
      this.requests,
      () => connection.isRequestPathDead,
    );
    this.forward(
      server,
      caller,
      this.responses,
      () => connection.isResponsePathDead,
    );
    const drop = () => {
      this.connections.delete(connection);
    };
    caller.on("close", drop);
  }

  private forward(
    from: Socket,
    to: Socket,
    direction: Direction,
    isDead: () => boolean,
  ): void {
    let delayedCount = 0;
    const forwardOrDrop = (send: () => void) => {
      const forwardUnlessDead = () => {
        if (!isDead()) send();
      };
      const run = () => {
        if (direction.holdCount > 0) direction.held.push(forwardUnlessDead);
        else forwardUnlessDead();
      };
      // What follows delayed bytes is delayed as long, so that it stays behind them.
      if (this.link !== LinkState.Slow && delayedCount === 0) {
        run();
        return;
      }
      delayedCount += 1;
      setTimeout(() => {
        delayedCount -= 1;
        run();
      }, linkDelayMs);
    };
    from.setNoDelay(true);
    from.on("data", (chunk) => {
      forwardOrDrop(() => to.write(chunk));
    });
    from.on("end", () => {
      forwardOrDrop(() => {
        to.end();
      });
    });
    from.on("error", () => {
      forwardOrDrop(() => {
        resetSocket(to);
      });
    });
    from.on("close", () => {
      forwardOrDrop(() => {
        to.destroySoon();
      });
    });
  }
}
