import assert from "node:assert/strict";
import { request, type IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { SoakReplica } from "./soakReplica.js";
import { RunEnd, type RecordedRun } from "./types.js";

const address = (replica: SoakReplica): string =>
  `127.0.0.1:${String(replica.port)}`;

interface Answer {
  readonly status: number;
  readonly isWhole: boolean;
  readonly text: string;
}

const call = (
  replica: SoakReplica,
  method: string,
  path: string,
  headers: IncomingHttpHeaders = {},
  body = "",
): { answer: Promise<Answer>; leave: () => void } => {
  const req = request({
    host: "127.0.0.1",
    port: replica.port,
    method,
    path,
    headers: { "content-length": String(body.length), ...headers },
  });
  const answer = new Promise<Answer>((resolve, reject) => {
    req.on("error", reject);
    req.on("response", (res) => {
      let received = "";
      res.on("data", (chunk: Buffer) => (received += chunk.toString()));
      res.on("error", () => undefined); // the close event follows
      res.on("close", () => {
        const status = res.statusCode ?? 0;
        resolve({ status, isWhole: res.complete, text: received });
      });
    });
  });
  answer.catch(() => undefined); // of a caller that left
  req.end(body);
  return { answer, leave: () => req.destroy() };
};

const stream = (replica: SoakReplica, headers: IncomingHttpHeaders = {}) =>
  call(replica, "POST", "/stream/x", {
    "attempt-id": "r",
    "expect-replica": replica.id,
    ...headers,
  });

const move = async (
  replica: SoakReplica,
  to: string,
  last: boolean,
): Promise<{ status: number; handle?: string; created_at?: number }> => {
  const body = JSON.stringify({ id: "r", to, last });
  const { answer } = call(replica, "POST", "/-/kv-move", {}, body);
  const { status, text: received } = await answer;
  return { status, ...(JSON.parse(received) as { handle?: string }) };
};

const start = async (t: TestContext, keepsRuns = false) => {
  const runs: RecordedRun[] = [];
  const replicas: SoakReplica[] = [];
  for (const id of ["source", "holder"])
    replicas.push(
      await SoakReplica.create(
        {
          id,
          service: "engines",
          zone: "zone-a",
          endpoint: replicas.length,
          eventIntervalMs: 25,
          keepsRuns,
          onArrival: () => undefined,
          onRun: (run) => runs.push(run),
        },
        {
          replicaAt: (name) => replicas.find((one) => address(one) === name),
          addressOf: address,
        },
      ),
    );
  t.after(() => {
    for (const replica of replicas) replica.crash();
  });
  const [source, holder] = replicas;
  assert.ok(source !== undefined && holder !== undefined);
  return { source, holder, runs };
};

test("a run that is moved for good stops first, and goes on from its copy once", async (t) => {
  const { source, holder, runs } = await start(t);
  const { answer } = stream(source);
  await sleep(300);
  const moving = move(source, address(holder), true);
  await sleep(20);
  assert.equal((await move(source, address(holder), true)).status, 409);
  const { status, handle = "", created_at: created = 0 } = await moving;
  assert.equal(status, 200);
  assert.ok(created > 0);
  const { isWhole, text: received } = await answer;
  assert.ok(!isWhole);
  assert.ok(received.includes(`id: ${String(created)}\n`));
  assert.equal(runs[0]?.end, RunEnd.Stopped);
  assert.equal((await move(source, address(holder), true)).status, 404);
  const goOn = {
    "kv-from": `${address(source)}/${handle}`,
    "last-event-id": String(created),
  };
  const rest = await stream(holder, goOn).answer;
  assert.equal(rest.status, 200);
  assert.ok(rest.isWhole);
  assert.ok(rest.text.startsWith(`id: ${String(created + 1)}\n`));
  assert.equal(runs[1]?.end, RunEnd.Whole);
  for (const replica of [source, holder])
    assert.equal((await stream(replica, goOn).answer).status, 503);
});

test("a run that is copied works on", async (t) => {
  const { source, holder, runs } = await start(t);
  const { answer } = stream(source);
  await sleep(300);
  assert.equal((await move(source, address(holder), false)).status, 200);
  assert.ok((await answer).isWhole);
  assert.equal(runs[0]?.end, RunEnd.Whole);
});

test("a run that no other replica can take stops and goes on at its source", async (t) => {
  const { source, runs } = await start(t);
  const { answer } = stream(source);
  await sleep(300);
  const { status, handle = "" } = await move(source, "127.0.0.1:1", true);
  assert.equal(status, 503);
  assert.ok(!(await answer).isWhole);
  assert.equal(runs[0]?.end, RunEnd.Stopped);
  const goOn = {
    "kv-from": `${address(source)}/${handle}`,
    "last-event-id": "5",
  };
  assert.ok((await stream(source, goOn).answer).isWhole);
});

test("a copy that is freed at its source is used nowhere, nor for another request", async (t) => {
  const { source, holder } = await start(t);
  stream(source);
  await sleep(200);
  const { handle = "" } = await move(source, address(holder), true);
  const from = { "kv-from": `${address(source)}/${handle}` };
  const other = { ...from, "attempt-id": "s" };
  assert.equal((await stream(holder, other).answer).status, 503);
  await call(source, "DELETE", `/-/kv-handle/${handle}`).answer;
  assert.equal((await stream(holder, from).answer).status, 503);
});

test("a replica that keeps its runs works on when a connection closes, and stops when it is asked", async (t) => {
  const { source, holder, runs } = await start(t, true);
  const { leave } = stream(source);
  await sleep(250);
  leave();
  await sleep(250);
  assert.equal(runs[0]?.end, undefined);
  assert.equal((await move(source, address(holder), true)).status, 200);
  assert.equal(runs[0]?.end, RunEnd.Stopped);
});

test("a replica that drops its runs ends one when its connection closes", async (t) => {
  const { source, runs } = await start(t);
  const { leave } = stream(source);
  await sleep(250);
  leave();
  await sleep(50);
  assert.equal(runs[0]?.end, RunEnd.Closed);
});

test("a report is some hundred milliseconds old", async (t) => {
  const { source } = await start(t);
  const reported = async () => {
    const { text: received } = await call(source, "GET", "/-/report").answer;
    const { runs } = JSON.parse(received) as { runs: [string, ...number[]][] };
    return runs.map(([id]) => id);
  };
  const { leave } = stream(source);
  await sleep(20);
  assert.deepEqual(await reported(), []);
  await sleep(500);
  assert.deepEqual(await reported(), ["r"]);
  leave();
  await sleep(20);
  assert.deepEqual(await reported(), ["r"]);
  await sleep(500);
  assert.deepEqual(await reported(), []);
});
