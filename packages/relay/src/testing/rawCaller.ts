/** Test caller that sends raw bytes step by step on one connection. */

import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";

const pollMs = 5;
const defaultMaxWaitMs = 20_000; // more than a busy machine needs

/** One connection of a caller, with what it received. */
export class RawCaller {
  text = "";
  isClosed = false;
  error: Error | undefined;

  private constructor(readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on("data", (chunk) => (this.text += chunk.toString("latin1")));
    socket.on("error", (error) => (this.error = error));
    socket.on("close", () => (this.isClosed = true));
  }

  /** Connects, and sends nothing yet. */
  static create(port: number): RawCaller {
    return new RawCaller(connect(port, "127.0.0.1"));
  }

  /** Sends bytes. */
  send(bytes: string): void {
    this.socket.write(bytes, "latin1");
  }

  /** Waits until the text matches, the connection is closed, or the time has passed. */
  async waitFor(pattern: RegExp, waitMs = defaultMaxWaitMs): Promise<boolean> {
    const deadline = now() + waitMs;
    while (!pattern.test(this.text)) {
      if (this.isClosed || now() > deadline) return false;
      await sleep(pollMs);
    }
    return true;
  }

  /** Waits until the connection is closed, and returns whether it was in time. */
  async waitForClose(waitMs: number): Promise<boolean> {
    const deadline = now() + waitMs;
    while (!this.isClosed && now() < deadline) await sleep(pollMs);
    return this.isClosed;
  }
}
