/** Reads the event stream of a watch. */

import { request } from "undici";
import {
  validateWatchMessage,
  type WatchMessage,
  type WireEntry,
} from "@cardamomglade/schema";
import { transportFailureOf, type Gateway } from "./gateway.js";
import { onlyEra } from "./storePosition.js";
import type { WatchChange, WatchEvent } from "./types.js";
import { fromWire, toEntry } from "./wire.js";

const toChange = (event: { type?: string; kv: WireEntry }): WatchChange =>
  event.type === "DELETE"
    ? {
        type: "delete",
        key: fromWire(event.kv.key),
        modRevision: Number(event.kv.mod_revision ?? 0),
      }
    : { type: "put", entry: toEntry(event.kv) };

const toEvent = ({ result }: WatchMessage): WatchEvent | undefined => {
  const compactRevision = Number(result.compact_revision ?? 0);
  if (compactRevision > 0) return { type: "compacted", compactRevision };
  const changes = (result.events ?? []).map(toChange);
  if (changes.length === 0) return undefined;
  const revision = Number(result.header?.revision ?? 0);
  return { type: "changes", era: onlyEra, revision, changes };
};

const parseLine = (line: string): WatchMessage => {
  const message: unknown = JSON.parse(line);
  if (validateWatchMessage(message)) return message;
  throw new Error("the watch sent a malformed message");
};

const maxLineChars = 16 * 1024 * 1024;

// Messages are separated by newlines; the incomplete last line of a chunk is kept for the next chunk.
async function* readLines(
  body: AsyncIterable<unknown>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let incompleteLine = "";
  for await (const chunk of body) {
    const text = decoder.decode(chunk as Uint8Array, { stream: true });
    const lines = (incompleteLine + text).split("\n");
    incompleteLine = lines.pop() ?? "";
    if (incompleteLine.length > maxLineChars)
      throw new Error(`a line exceeds ${String(maxLineChars)} characters`);
    yield* lines;
  }
}

/** Reports changes until the watch ends. The last event is `compacted` or `lost`. */
export const readWatch = async (
  gateway: Gateway,
  body: object,
  signal: AbortSignal,
  onEvent: (event: WatchEvent) => void,
): Promise<void> => {
  try {
    const res = await request(`${gateway.endpoint()}/v3/watch`, {
      method: "POST",
      body: JSON.stringify(body),
      dispatcher: gateway.agent,
      signal,
    });
    for await (const line of readLines(res.body)) {
      const event = toEvent(parseLine(line));
      if (event !== undefined) onEvent(event);
      if (event?.type === "compacted") return;
    }
    throw new Error("the watch ended");
  } catch (error) {
    if (signal.aborted) return;
    gateway.useNextEndpoint();
    onEvent({ type: "lost", failure: transportFailureOf(error) });
  }
};
