/** A loopback proxy that harms the connections through it. */

import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { resetSocket } from "./resetSocket.js";

/** What happens to bytes on their way. */
export enum LinkState {
  Good = "good",
  /** Each chunk comes late. */
  Slow = "slow",
  /** Connections are reset, new ones too. */
  Reset = "reset",
  /** Nothing passes any more, without a sign; also later on the same connection. */
  Silent = "silent",
  /** Requests pass, answers do not. */
  OneWay = "oneWay",
}

const slowMs = 60;

interface Pair {
  readonly caller: Socket;
  readonly server: Socket;
  /** Ways on which bytes were dropped; nothing may follow there. */
  isRequestDead: boolean;
  isAnswerDead: boolean;
}

/** Forwards to one port, which may change. */
export class FaultProxy {
  private link = LinkState.Good;
  private readonly pairs = new Set<Pair>();
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

  /** New connections go to another port. */
  retarget(port: number): void {
    this.target = port;
  }

  set(link: LinkState): void {
    this.link = link;
    for (const pair of this.pairs) {
      if (link === LinkState.Reset) this.reset(pair);
      pair.isRequestDead ||= link === LinkState.Silent;
      pair.isAnswerDead ||=
        link === LinkState.Silent || link === LinkState.OneWay;
    }
  }

  stop(): void {
    for (const pair of this.pairs) this.reset(pair);
    this.listener.close();
  }

  private reset({ caller, server }: Pair): void {
    resetSocket(caller);
    resetSocket(server);
  }

  private open(caller: Socket): void {
    if (this.link === LinkState.Reset) {
      resetSocket(caller);
      return;
    }
    const server = connect(this.target, "127.0.0.1");
    const pair: Pair = {
      caller,
      server,
      isRequestDead: this.link === LinkState.Silent,
      isAnswerDead:
        this.link === LinkState.Silent || this.link === LinkState.OneWay,
    };
    this.pairs.add(pair);
    this.forward(caller, server, () => pair.isRequestDead);
    this.forward(server, caller, () => pair.isAnswerDead);
    const drop = () => {
      this.pairs.delete(pair);
    };
    caller.on("close", drop);
  }

  private forward(from: Socket, to: Socket, isDead: () => boolean): void {
    const pass = (act: () => void) => {
      const run = () => {
        if (!isDead()) act();
      };
      if (this.link === LinkState.Slow) setTimeout(run, slowMs);
      else run();
    };
    from.setNoDelay(true);
    from.on("data", (chunk) => {
      pass(() => to.write(chunk));
    });
    from.on("end", () => {
      pass(() => {
        to.end();
      });
    });
    from.on("error", () => {
      pass(() => {
        resetSocket(to);
      });
    });
    from.on("close", () => {
      pass(() => {
        to.destroySoon();
      });
    });
  }
}
