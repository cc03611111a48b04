/**
 * Stand-in of a model replica: streams events with ids from 1, `event_ms` apart, the first one
 * after `first_ms`. How many it makes of a request it learns from a list of long requests; the
 * others are short. It reports its runs, and has no room for copies of memory. It tells each run.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import { createInterface } from "node:readline";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";

const settings = JSON.parse(process.argv[2]);
const { id, host, port, slots = 48 } = settings;
const how = {
  first_ms: 100,
  event_ms: 40,
  short_events: 10,
  long_events: 140,
  long_requests: [],
  ...settings.how,
};
const born = Date.now();
const runs = new Map();
let report = {};

const tell = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);

const takeReport = () => {
  report = {
    phase: "unified",
    models: [{ name: "m", version: 1, adapters: [] }],
    busy: false,
    sequence: 1,
    queued_requests: 0,
    active_requests: runs.size,
    kv_used_tokens: 0,
    kv_total_tokens: 88_000,
    handles: 0,
    born,
    runs: [...runs].map(([attempt, made]) => [attempt, 1000, made, 0]),
  };
};
takeReport();
const reporting = setInterval(takeReport, 250);

const answer = (res, status, body, headers = {}) => {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
};

const readBody = async (req) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** What the replica is asked beside requests. */
const answerOwn = (req, res) => {
  if (req.url === "/health") return answer(res, 200, {}, { "replica-id": id });
  if (req.url === "/-/report") return answer(res, 200, report);
  if (req.url.startsWith("/-/kv-list"))
    return answer(res, 200, { epoch: 1, next: 0, held: [] });
  if (req.url.startsWith("/-/kv-move")) return answer(res, 503, {});
  return answer(res, 404, {});
};

const serve = async (req, res) => {
  const body = await readBody(req);
  if (req.url === "/health" || req.url.startsWith("/-/")) {
    answerOwn(req, res);
    return;
  }
  const attempt = req.headers["attempt-id"] ?? "";
  if (req.headers["expect-replica"] !== id) {
    answer(res, 421, {}, { "replica-id": id });
    return;
  }
  if (req.headers["kv-from"] !== undefined || runs.size >= slots) {
    answer(res, 503, {}, { "not-executed": "1", "attempt-id": attempt });
    return;
  }
  const from = Number(req.headers["last-event-id"] ?? 0);
  const count = how.long_requests.includes(attempt)
    ? how.long_events
    : how.short_events;
  runs.set(attempt, from);
  tell({ type: "run", replica: id, attempt, from, bytes: body.length });
  let hasClosed = false;
  res.on("close", () => {
    runs.delete(attempt);
    hasClosed = !res.writableFinished;
    if (hasClosed) tell({ type: "dropped", replica: id, attempt });
  });
  await sleep(how.first_ms);
  if (hasClosed) return;
  res.writeHead(200, {
    "attempt-id": attempt,
    "response-seal": `seal.${attempt}`,
    "content-type": "text/event-stream",
  });
  for (let number = from + 1; number <= count; number += 1) {
    if (hasClosed) return;
    res.write(`id: ${String(number)}\ndata: ${attempt} ${String(number)}\n\n`);
    runs.set(attempt, number);
    if (number < count) await sleep(how.event_ms);
  }
  res.end();
  tell({ type: "answered", replica: id, attempt, events: count });
};

const server = http.createServer((req, res) => {
  serve(req, res).catch(() => res.destroy());
});
server.listen(port, host, () => tell({ type: "listening", born }));

createInterface({ input: process.stdin }).on("line", (line) => {
  if (JSON.parse(line).exit) process.exit(0);
});
process.stdin.on("end", () => {
  clearInterval(reporting);
  process.exit(0);
});
