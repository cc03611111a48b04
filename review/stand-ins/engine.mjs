/**
 * A model replica as a process of its own. Arguments: id, first event after ms, ms between
 * events, events of a stream, and how the end of an answer is marked (chunks or connection).
 * Writes a JSON line for each thing that happens. Exits on SIGTERM, with what it was answering.
 */

import { clearTimeout, setTimeout } from "node:timers";
import http from "node:http";
import { Buffer } from "node:buffer";

const [id, firstMs, gapMs, eventCount, framing] = process.argv.slice(2);
const slotCount = 48;
const kvTotalTokens = 88_000;
const bornAt = Date.now();
const runs = new Map();

const tell = (event) => {
  console.log(JSON.stringify({ replica: id, ...event }));
};

const sendJson = (res, status, body, headers) => {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
};

const report = (res) => {
  const tokens = runs.size * 1000;
  sendJson(res, 200, {
    phase: "unified",
    models: [{ name: "m", version: 1, adapters: [] }],
    busy: false,
    sequence: 0,
    queued_requests: 0,
    active_requests: runs.size,
    kv_used_tokens: tokens,
    kv_total_tokens: kvTotalTokens,
    handles: 0,
    state: "ready",
    runs: [...runs].map(([attempt, made]) => [attempt, 1000, made, 1]),
    born: bornAt,
  });
};

/** Sleeps, but not longer than the channel lives. */
const sleepWhileOpen = (ms, res) =>
  new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      res.removeListener("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    res.once("close", finish);
  });

const stream = async (req, res, attempt) => {
  const from = Number(req.headers["last-event-id"] ?? 0);
  runs.set(attempt, from);
  tell({ type: "run", attempt, from });
  await sleepWhileOpen(Number(firstMs), res);
  if (!res.destroyed) {
    if (framing === "connection") {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(200, {
      "Attempt-Id": attempt,
      "Response-Seal": `${id}.${attempt}`,
      "content-type": "text/event-stream",
    });
  }
  for (let event = from + 1; event <= Number(eventCount); event += 1) {
    if (res.destroyed) break;
    res.write(`id: ${event}\ndata: ${attempt} ${event}\n\n`);
    runs.set(attempt, event);
    if (event < Number(eventCount)) await sleepWhileOpen(Number(gapMs), res);
  }
  tell({ type: "runEnded", attempt, made: runs.get(attempt) });
  runs.delete(attempt);
  res.end();
};

const serve = async (req, res) => {
  const attempt = req.headers["attempt-id"] ?? "";
  for await (const chunk of req) void chunk;
  const path = req.url.split("?")[0];
  const notRun = { "Attempt-Id": attempt, "Not-Executed": "1" };
  if (path === "/health") sendJson(res, 200, {}, { "Replica-Id": id });
  else if (path === "/-/report") report(res);
  else if (path === "/-/kv-list")
    sendJson(res, 200, { epoch: 1, next: 0, held: [] });
  else if (path === "/-/kv-events")
    sendJson(res, 200, { epoch: 1, next: 0, lost: false, events: [] });
  else if (path === "/-/kv-move") sendJson(res, 503, {});
  else if (path.startsWith("/-/")) sendJson(res, 404, {});
  else if (req.headers["expect-replica"] !== id) sendJson(res, 421, {}, notRun);
  else if (attempt === "") sendJson(res, 400, {}, notRun);
  else if (req.headers["kv-from"] !== undefined || runs.size >= slotCount)
    sendJson(res, 503, {}, notRun);
  else await stream(req, res, attempt);
};

const server = http.createServer((req, res) => {
  res.on("error", () => undefined); // the channel was reset
  serve(req, res).catch((error) => {
    if (!req.destroyed) throw error;
  });
});
process.once("SIGTERM", () => {
  process.exit(0);
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address();
  tell({ type: "listening", port, bornAt });
});
