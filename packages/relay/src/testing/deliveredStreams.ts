/** Test harness: the events that callers received, over all attempts at a stream. */

import type { RelayCommand } from "../decisions/commands.js";
import type { CallerRequest } from "../types.js";

/** Events of one stream over all attempts of its caller. */
export interface DeliveredStream {
  readonly firstKey: string;
  lastEventId: number;
  /** Software versions that made the events. */
  readonly versions: Set<string>;
}

type DeliverCommand = Extract<RelayCommand, { readonly type: "deliverEvents" }>;

/** Streams by the key of each attempt; simulated engines put their version into each event. */
export class DeliveredStreams extends Map<string, DeliveredStream> {
  /** Records events that a router delivers. */
  record({ key, events }: DeliverCommand): void {
    const stream = this.get(key) ?? {
      firstKey: key,
      lastEventId: 0,
      versions: new Set<string>(),
    };
    this.set(key, stream);
    for (const { id, bytes } of events) {
      stream.lastEventId = id;
      stream.versions.add(new TextDecoder().decode(bytes));
    }
  }

  /** Properties of a request that takes a stream up after its last event. */
  takeUpOf(key: string): Partial<CallerRequest> {
    const { firstKey = key, lastEventId = 0 } = this.get(key) ?? {};
    return {
      lastPromptBlockId: `own-${firstKey}`,
      ...(lastEventId > 0 && { lastEventId, resumes: firstKey }),
    };
  }

  /** Adds the attempt that takes a stream up. */
  goOn(key: string, next: string): void {
    const stream = this.get(key);
    if (stream !== undefined) this.set(next, stream);
  }
}
