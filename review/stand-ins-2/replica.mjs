/**
 * Stand-in of a replica that is no engine: answers each request after `work_ms`, on a port of its own.
 * It tells each run and what it does with it on its standard output. `frame`: "length",
 * "chunked" or "close" (the answer ends with its channel; PROTOCOL.md and RULES.md allow it).
 * A body is written in `parts` parts, `part_ms` apart.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import http from "node:http";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

const settings = JSON.parse(process.argv[2]);
const born = Date.now();
let { id, host, port } = settings;
let how = {
  work_ms: 30,
  frame: "length",
  parts: 1,
  part_ms: 0,
  bytes: 800,
  status: 200,
  ...settings.how,
};
let isLeaving = false;

const tell = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);

/** The body of an answer: it names its request. */
const bodyOf = (attempt) => {
  const seed = createHash("sha256").update(`${id} ${attempt}`).digest("hex");
  return Buffer.from(
    seed.repeat(Math.ceil(how.bytes / seed.length)).slice(0, how.bytes),
  );
};

const readBody = async (req) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const serve = async (req, res) => {
  if (req.url === "/health") {
    res.writeHead(isLeaving ? 503 : 200, {
      "replica-id": id,
      "content-length": 0,
    });
    res.end();
    return;
  }
  if (
    req.headers["expect-replica"] !== undefined &&
    req.headers["expect-replica"] !== id
  ) {
    res.writeHead(421, { "replica-id": id, "content-length": 0 });
    res.end();
    return;
  }
  const attempt = req.headers["attempt-id"] ?? "";
  const body = await readBody(req);
  tell({
    type: "run",
    replica: id,
    attempt,
    method: req.method,
    path: req.url,
    tenant: req.headers.tenant,
    headers: req.headers,
    bytes: body.length,
  });
  let hasClosed = false;
  res.on("close", () => {
    hasClosed = !res.writableFinished;
    if (hasClosed) tell({ type: "dropped", replica: id, attempt });
  });
  const { work_ms: workMs, frame, parts, part_ms: partMs, status } = how;
  await sleep(workMs);
  if (hasClosed) return;
  const answer = bodyOf(attempt);
  const seal = createHash("sha256").update(answer).digest("hex").slice(0, 16);
  const headers = {
    "attempt-id": attempt,
    "response-seal": seal,
    "content-type": "text/plain",
  };
  if (frame === "length") headers["content-length"] = answer.length;
  if (frame === "close") {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  res.writeHead(status, headers);
  const step = Math.ceil(answer.length / parts);
  for (let from = 0; from < answer.length; from += step) {
    if (from > 0) await sleep(partMs);
    if (hasClosed) return;
    res.write(answer.subarray(from, from + step));
    tell({
      type: "part",
      replica: id,
      attempt,
      bytes: Math.min(answer.length, from + step),
      of: answer.length,
    });
  }
  res.end();
  tell({ type: "answered", replica: id, attempt, status, seal });
};

const server = http.createServer((req, res) => {
  serve(req, res).catch(() => res.destroy());
});
server.listen(port, host, () => tell({ type: "listening", born }));

createInterface({ input: process.stdin }).on("line", (line) => {
  const message = JSON.parse(line);
  if (message.how) how = { ...how, ...message.how };
  if (message.leaving !== undefined) isLeaving = message.leaving;
  if (message.stopListening) server.close();
  if (message.exit) process.exit(0);
});
process.stdin.on("end", () => process.exit(0));
