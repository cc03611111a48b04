/** Reads the time line of one router. */

import { abortSignalAt, isRecord, now } from "@cardamomglade/common";
import { validateTimelineEvent } from "@cardamomglade/schema";
import { request } from "undici";
import type { TimelineReading } from "./types.js";

/** Which events to ask for. */
export interface TimelineRequest {
  readonly token: string;
  readonly request?: string;
  readonly since?: string;
}

const answerTimeoutMs = 2000;
const maxAnswerBytes = 32 * 1024 * 1024;

const isText = (value: unknown): value is string => typeof value === "string";

/** The reading in a router's answer; events that the schema refuses are an error. */
export const parseTimeline = (url: string, body: unknown): TimelineReading => {
  const unreachable = (message: string): TimelineReading => ({
    type: "unreachable",
    url,
    message,
  });
  if (!isRecord(body)) return unreachable("the answer is no time line");
  const { process, events, peers, droppedUpTo } = body;
  if (!isText(process) || !Array.isArray(events))
    return unreachable("the answer is no time line");
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
    peers: Array.isArray(peers) ? peers.filter(isText) : [],
    ...(isText(droppedUpTo) ? { droppedUpTo } : {}),
    events: valid,
  };
};

const readText = async (body: AsyncIterable<unknown>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Uint8Array).length;
    if (bytes > maxAnswerBytes)
      throw new Error(`the answer exceeds ${String(maxAnswerBytes)} bytes`);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** Asks a router; one that does not answer is a reading too. */
export const readTimeline = async (
  url: string,
  wanted: TimelineRequest,
): Promise<TimelineReading> => {
  const query = new URLSearchParams();
  if (wanted.request !== undefined) query.set("request", wanted.request);
  if (wanted.since !== undefined) query.set("since", wanted.since);
  try {
    const res = await request(`${url}/timeline?${query.toString()}`, {
      headers: { authorization: `Bearer ${wanted.token}` },
      signal: abortSignalAt(now() + answerTimeoutMs),
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
