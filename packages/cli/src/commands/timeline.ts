/** Merges the time lines of all routers. */

import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "@cardamomglade/common";
import { formatEvent, formatGap } from "../timeline/formatTimeline.js";
import { mergeTimelines } from "../timeline/mergeTimelines.js";
import {
  readTimeline,
  type TimelineRequest,
} from "../timeline/readTimeline.js";
import { renderPage } from "../timeline/renderPage.js";
import type { MergedTimeline } from "../timeline/types.js";
import { readSettings } from "./check.js";

/** Flags of the command. */
export interface TimelineFlags {
  readonly settings?: string;
  readonly routers?: string;
  readonly tokenFile?: string;
  readonly request?: string;
  readonly since?: string;
  readonly follow?: boolean;
  readonly format?: string;
}

interface TimelinePlan {
  readonly urls: readonly string[];
  readonly wanted: TimelineRequest;
  readonly format: TimelineFormat;
}

type TimelineFormat = "text" | "json" | "html";

const formats: readonly string[] = ["text", "json", "html"];
const wallDigits = 13;
const followEveryMs = 1000;

const isFormat = (text: string): text is TimelineFormat =>
  formats.includes(text);

/** A moment as ISO text, milliseconds or a clock reading, as a clock reading. */
export const readingOf = (moment: string): Result<string, string> => {
  if (/^\d{13}-\d{6}/.test(moment)) return ok(moment);
  const ms = /^\d+$/.test(moment) ? Number(moment) : Date.parse(moment);
  return Number.isFinite(ms) && ms >= 0
    ? ok(String(ms).padStart(wallDigits, "0"))
    : err(`--since "${moment}" is no moment`);
};

const urlsOf = async (
  flags: TimelineFlags,
): Promise<Result<readonly string[], string>> => {
  if (flags.routers !== undefined)
    return ok(flags.routers.split(",").filter((url) => url !== ""));
  if (flags.settings === undefined)
    return err("either --routers or --settings is needed");
  const settings = await readSettings(flags.settings);
  if (settings.type === "err")
    return err(`settings file "${flags.settings}" has findings`);
  const { address, port, tls } = settings.value.listen.administration;
  const scheme = tls === undefined ? "http" : "https";
  return ok([`${scheme}://${address}:${String(port)}`]);
};

const planOf = async (
  flags: TimelineFlags,
): Promise<Result<TimelinePlan, string>> => {
  const { tokenFile, request, format = "text" } = flags;
  if (tokenFile === undefined) return err("--token-file is needed");
  if (!isFormat(format))
    return err(`--format "${format}" is none of ${formats.join(", ")}`);
  const urls = await urlsOf(flags);
  if (urls.type === "err") return urls;
  const since = flags.since === undefined ? undefined : readingOf(flags.since);
  if (since?.type === "err") return since;
  const token = (await readFile(tokenFile, "utf8")).trim();
  const wanted = {
    token,
    ...(request === undefined ? {} : { request }),
    ...(since === undefined ? {} : { since: since.value }),
  };
  return ok({ urls: urls.value, wanted, format });
};

const readAll = async (
  urls: readonly string[],
  wanted: TimelineRequest,
): Promise<MergedTimeline> => {
  const readings = urls.map((url) => readTimeline(url, wanted));
  return mergeTimelines(await Promise.all(readings), wanted.since);
};

const print = (timeline: MergedTimeline, plan: TimelinePlan): void => {
  const { events, gaps } = timeline;
  if (plan.format === "html") {
    process.stdout.write(renderPage(timeline, plan.wanted.request));
  } else {
    for (const event of events)
      console.log(
        plan.format === "json" ? JSON.stringify(event) : formatEvent(event),
      );
  }
  for (const gap of gaps) console.error(formatGap(gap));
};

// Each round asks each process for what came after the newest event seen.
const follow = async (plan: TimelinePlan): Promise<never> => {
  let since = plan.wanted.since;
  const seen = new Set<string>();
  for (;;) {
    const wanted =
      since === undefined ? plan.wanted : { ...plan.wanted, since };
    const timeline = await readAll(plan.urls, wanted);
    const events = timeline.events.filter(({ at }) => !seen.has(at));
    print({ ...timeline, events }, plan);
    const newest = events.at(-1)?.at;
    // Slower clocks of other processes may still stamp events before the newest.
    if (newest !== undefined) {
      const wall = Number(newest.slice(0, wallDigits)) - 2 * followEveryMs;
      since = String(wall).padStart(wallDigits, "0");
    }
    for (const { at } of events) seen.add(at);
    for (const at of seen)
      if (since !== undefined && at < since) seen.delete(at);
    await sleep(followEveryMs);
  }
};

/** Prints the merged time line; exit code 1 where a router is missing. */
export const timeline = async (flags: TimelineFlags): Promise<number> => {
  const plan = await planOf(flags);
  if (plan.type === "err") {
    console.error(plan.error);
    return 2;
  }
  if (flags.follow === true && plan.value.format !== "html")
    return follow(plan.value);
  const merged = await readAll(plan.value.urls, plan.value.wanted);
  print(merged, plan.value);
  const isWhole = merged.gaps.every(({ type }) => type === "dropped");
  return isWhole ? 0 : 1;
};
