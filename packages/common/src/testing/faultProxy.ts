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

/** Forwards connections to a port, which may change. */
export class FaultProxy {
  private link = LinkState.Good;
  /** Number of holds in force: what is behind the proxy reads, writes and accepts nothing. */
  private holdCount = 0;
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

  /** Holds back all bytes and new connections for a time, and then forwards them: nothing is lost. */
  async hold(durationMs: number): Promise<void> {
    this.holdCount += 1;
    for (const { caller, server } of this.connections) {
      caller.pause();
      server.pause();
    }
    await sleep(durationMs);
    this.holdCount -= 1;
    if (this.holdCount > 0) return;
    for (const { caller, server } of this.connections) {
      caller.resume();
      server.resume();
    }
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
    if (this.holdCount > 0) {
      caller.pause();
      server.pause();
    }
    this.forward(caller, server, () => connection.isRequestPathDead);
    this.forward(server, caller, () => connection.isResponsePathDead);
    const drop = () => {
      this.connections.delete(connection);
    };
    caller.on("close", drop);
  }

  private forward(from: Socket, to: Socket, isDead: () => boolean): void {
    let delayedCount = 0;
    const forwardOrDrop = (send: () => void) => {
      const run = () => {
        if (!isDead()) send();
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
