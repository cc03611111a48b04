/** Renders a merged timeline as a self-contained HTML page. */

import type { TimelineEvent } from "@cardamomglade/schema";
import { escapeMarkup } from "./escapeMarkup.js";
import { describeEvent, formatGap, wallTimeMsOf } from "./formatTimeline.js";
import { renderLanes, topicColours } from "./renderLanes.js";
import { requestWithMostAttempts, renderRequest } from "./renderRequest.js";
import type { MergedTimeline } from "./types.js";

const style = `body{font:14px sans-serif;margin:24px;max-width:1150px}
table{border-collapse:collapse;font:12px monospace}td{padding:1px 10px 1px 0}
.key span{margin-right:14px}.gap{color:#a00}.event{cursor:pointer}.dim{opacity:.12}tr.hidden{display:none}`;

// A click on an event filters the page by its request.
const script = `const events=document.querySelectorAll("[data-request]");
const filter=document.getElementById("filter");
const show=()=>{for(const one of events){const fits=filter.value===""||one.dataset.request===filter.value;
one.classList.toggle(one.tagName==="TR"?"hidden":"dim",!fits)}};
filter.addEventListener("input",show);
for(const one of events)one.addEventListener("click",()=>{filter.value=one.dataset.request;show()});`;

const renderLegend = (): string =>
  Object.entries(topicColours)
    .map(
      ([topic, colour]) =>
        `<span><svg width="10" height="10"><circle cx="5" cy="5" r="4" fill="${colour}"/></svg> ${topic}</span>`,
    )
    .join("");

const renderRow = (event: TimelineEvent): string => {
  const time = new Date(wallTimeMsOf(event.at)).toISOString();
  const cells = [time, event.process, describeEvent(event)];
  const request = escapeMarkup(event.request ?? "");
  return `<tr data-request="${request}">${cells.map((cell) => `<td>${escapeMarkup(cell)}</td>`).join("")}</tr>`;
};

const renderEvents = (
  timeline: MergedTimeline,
  requestId: string | undefined,
): string[] => {
  const { events } = timeline;
  if (events.length === 0) return ["<p>no events</p>"];
  const request = requestId ?? requestWithMostAttempts(events);
  const requestSection =
    request === undefined ? "" : renderRequest(request, events);
  return [
    `<p class="key">${renderLegend()}</p>`,
    renderLanes(timeline),
    ...(requestSection === ""
      ? []
      : [`<h2>Request ${escapeMarkup(request ?? "")}</h2>`, requestSection]),
    `<h2>Events</h2><p><label>request <input id="filter" size="44"></label></p>`,
    `<table><tbody>${events.map(renderRow).join("\n")}</tbody></table>`,
    `<script>${script}</script>`,
  ];
};

/** HTML page with the lanes of all processes, the attempts of one request and a table of all events; loads no external resources. */
export const renderPage = (
  timeline: MergedTimeline,
  request?: string,
): string =>
  [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8"><title>cardamomglade timeline</title><style>${style}</style></head><body>`,
    "<h1>Timeline</h1>",
    ...timeline.gaps.map(
      (gap) => `<p class="gap">${escapeMarkup(formatGap(gap))}</p>`,
    ),
    ...renderEvents(timeline, request),
    "</body></html>",
    "",
  ].join("\n");
