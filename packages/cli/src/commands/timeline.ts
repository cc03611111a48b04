/** The `timeline` command: merges the timelines of all routers. */

import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "@cardamomglade/common";
import { formatEvent, formatGap } from "../timeline/formatTimeline.js";
import { mergeTimelines } from "../timeline/mergeTimelines.js";
import { readTimeline, type TimelineQuery } from "../timeline/readTimeline.js";
import { renderPage } from "../timeline/renderPage.js";
import type { MergedTimeline } from "../timeline/types.js";
import { readSettings } from "./check.js";

/** Flags of `timeline`. */
export interface TimelineFlags {
  readonly settings?: string;
  readonly routers?: string;
  readonly tokenFile?: string;
  readonly request?: string;
  readonly since?: string;
  readonly follow?: boolean;
  readonly format?: string;
}

interface TimelineOptions {
  readonly urls: readonly string[];
  readonly query: TimelineQuery;
  readonly format: TimelineFormat;
}

type TimelineFormat = "text" | "json" | "html";

const formats: readonly string[] = ["text", "json", "html"];
const wallTimeDigitCount = 13;
const pollIntervalMs = 1000;

const isFormat = (text: string): text is TimelineFormat =>
  formats.includes(text);

/** Converts an ISO 8601 time, milliseconds since the epoch or a clock timestamp to a clock timestamp. */
export const parseTimestamp = (text: string): Result<string, string> => {
  if (/^\d{13}-\d{6}/.test(text)) return ok(text);
  const ms = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  return Number.isFinite(ms) && ms >= 0
    ? ok(String(ms).padStart(wallTimeDigitCount, "0"))
    : err(`--since "${text}" is not a valid time`);
};

const urlsOf = async (
  flags: TimelineFlags,
): Promise<Result<readonly string[], string>> => {
  if (flags.routers !== undefined)
    return ok(flags.routers.split(",").filter((url) => url !== ""));
  if (flags.settings === undefined)
    return err("either --routers or --settings is required");
  const settings = await readSettings(flags.settings);
  if (settings.type === "err")
    return err(`settings file "${flags.settings}" has findings`);
  const { address, port, tls } = settings.value.listen.administration;
  const scheme = tls === undefined ? "http" : "https";
  return ok([`${scheme}://${address}:${String(port)}`]);
};

const resolveOptions = async (
  flags: TimelineFlags,
): Promise<Result<TimelineOptions, string>> => {
  const { tokenFile, request, format = "text" } = flags;
  if (tokenFile === undefined) return err("--token-file is required");
  if (!isFormat(format))
    return err(`--format "${format}" is not one of ${formats.join(", ")}`);
  const urls = await urlsOf(flags);
  if (urls.type === "err") return urls;
  const since =
    flags.since === undefined ? undefined : parseTimestamp(flags.since);
  if (since?.type === "err") return since;
  const token = (await readFile(tokenFile, "utf8")).trim();
  const query = {
    token,
    ...(request === undefined ? {} : { request }),
    ...(since === undefined ? {} : { since: since.value }),
  };
  return ok({ urls: urls.value, query, format });
};

const readAll = async (
  urls: readonly string[],
  query: TimelineQuery,
): Promise<MergedTimeline> => {
  const responses = urls.map((url) => readTimeline(url, query));
  return mergeTimelines(await Promise.all(responses), query.since);
};

const print = (timeline: MergedTimeline, options: TimelineOptions): void => {
  const { events, gaps } = timeline;
  if (options.format === "html") {
    process.stdout.write(renderPage(timeline, options.query.request));
  } else {
    for (const event of events)
      console.log(
        options.format === "json" ? JSON.stringify(event) : formatEvent(event),
      );
  }
  for (const gap of gaps) console.error(formatGap(gap));
};

// Polls every router for events after the newest event printed so far.
const follow = async (options: TimelineOptions): Promise<never> => {
  let since = options.query.since;
  const seen = new Set<string>();
  for (;;) {
    const query =
      since === undefined ? options.query : { ...options.query, since };
    const timeline = await readAll(options.urls, query);
    const events = timeline.events.filter(({ at }) => !seen.has(at));
    print({ ...timeline, events }, options);
    const newest = events.at(-1)?.at;
    // Processes with slower clocks may still add events with earlier timestamps.
    if (newest !== undefined) {
      const wallTimeMs =
        Number(newest.slice(0, wallTimeDigitCount)) - 2 * pollIntervalMs;
      since = String(wallTimeMs).padStart(wallTimeDigitCount, "0");
    }
    for (const { at } of events) seen.add(at);
    for (const at of seen)
      if (since !== undefined && at < since) seen.delete(at);
    await sleep(pollIntervalMs);
  }
};

/** Prints the merged timeline; exit code 1 if a router could not be read or was not queried, 2 if the flags are invalid. */
export const timeline = async (flags: TimelineFlags): Promise<number> => {
  const options = await resolveOptions(flags);
  if (options.type === "err") {
    console.error(options.error);
    return 2;
  }
  if (flags.follow === true && options.value.format !== "html")
    return follow(options.value);
  const merged = await readAll(options.value.urls, options.value.query);
  print(merged, options.value);
  const isComplete = merged.gaps.every(({ type }) => type === "dropped");
  return isComplete ? 0 : 1;
};
