/** Splits the bytes of a server-sent event stream into complete events, unchanged. */

import type { StreamEvent } from "../decisions/types.js";

/** Why the bytes are not a valid event stream with ids. */
export interface SplitError {
  readonly message: string;
}

/** Result of pushing a chunk. */
export interface SplitResult {
  readonly events: readonly StreamEvent[];
  readonly error: SplitError | undefined;
}

const maxEventBytes = 1024 * 1024; // an event holds a few tokens
const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id: ?(\d+)\r?$/m;

/** Offset after the blank line that ends an event, or -1. */
const endOfEvent = (bytes: Buffer, from: number): number => {
  let index = bytes.indexOf(newline, from);
  while (index !== -1) {
    const next = bytes[index + 1];
    if (next === newline) return index + 2;
    if (next === carriageReturn && bytes[index + 2] === newline)
      return index + 3;
    index = bytes.indexOf(newline, index + 1);
  }
  return -1;
};

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  private constructor() {
    // Created by `create`.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Number of bytes of an incomplete event. */
  partialBytes(): number {
    return this.partialEvent.length;
  }

  push(chunk: Buffer): SplitResult {
    const bytes =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (;;) {
      const end = endOfEvent(bytes, from);
      if (end === -1) break;
      const event = bytes.subarray(from, end);
      const id = idField.exec(event.toString("latin1"))?.[1];
      if (id === undefined)
        return { events, error: { message: "an event without an id" } };
      events.push({ id: Number(id), bytes: event });
      from = end;
    }
    this.partialEvent = bytes.subarray(from);
    const error =
      this.partialEvent.length > maxEventBytes
        ? { message: `an event exceeds ${String(maxEventBytes)} bytes` }
        : undefined;
    return { events, error };
  }
}
