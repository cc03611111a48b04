/** Reads the timeline of one router. */

import { abortSignalAt, isRecord, now } from "@cardamomglade/common";
import { validateTimelineEvent } from "@cardamomglade/schema";
import { request } from "undici";
import type { TimelineResponse } from "./types.js";

/** Token and filter of a timeline request. */
export interface TimelineQuery {
  readonly token: string;
  readonly request?: string;
  readonly since?: string;
}

const responseTimeoutMs = 2000;
const maxResponseBytes = 32 * 1024 * 1024;

const isString = (value: unknown): value is string => typeof value === "string";

/** Parses a response body; a body with events that the schema rejects counts as unreachable. */
export const parseTimeline = (url: string, body: unknown): TimelineResponse => {
  const unreachable = (message: string): TimelineResponse => ({
    type: "unreachable",
    url,
    message,
  });
  if (!isRecord(body)) return unreachable("the response is not a timeline");
  const { process, events, peers, droppedUpTo } = body;
  if (!isString(process) || !Array.isArray(events))
    return unreachable("the response is not a timeline");
  const all: unknown[] = events;
  const valid = all.filter((event) => validateTimelineEvent(event));
  if (valid.length < all.length)
    return unreachable(
      `${String(all.length - valid.length)} events are malformed`,
    );
  return {
    type: "read",
    url,
    process,
    peers: Array.isArray(peers) ? peers.filter(isString) : [],
    ...(isString(droppedUpTo) ? { droppedUpTo } : {}),
    events: valid,
  };
};

const readText = async (body: AsyncIterable<unknown>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Uint8Array).length;
    if (bytes > maxResponseBytes)
      throw new Error(`the response exceeds ${String(maxResponseBytes)} bytes`);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** Queries a router; a failure is returned as `unreachable`, not thrown. */
export const readTimeline = async (
  url: string,
  filter: TimelineQuery,
): Promise<TimelineResponse> => {
  const query = new URLSearchParams();
  if (filter.request !== undefined) query.set("request", filter.request);
  if (filter.since !== undefined) query.set("since", filter.since);
  try {
    const res = await request(`${url}/timeline?${query.toString()}`, {
      headers: { authorization: `Bearer ${filter.token}` },
      signal: abortSignalAt(now() + responseTimeoutMs),
    });
    const text = await readText(res.body);
    if (res.statusCode !== 200) {
      const message = `answered ${String(res.statusCode)}: ${text}`;
      return { type: "unreachable", url, message };
    }
    return parseTimeline(url, JSON.parse(text));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { type: "unreachable", url, message };
  }
};
