/**
 * The open channels between the routers and the store fall silent, while new ones work.
 * Just after, the operator takes a key away. Is it still served once the routers are in touch?
 */

import path from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import {
  bounds,
  createReplicaServer,
  hasTrouble,
  routeOf,
  runCase,
  sendRequest,
} from "../stand-ins/deployment.mjs";
import { SilentProxy } from "../stand-ins/silentProxy.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const hostname = "bookings.example";
const lastingKey = "key-that-stays";
const revokedKey = "key-that-is-taken-away";
const settleMs = 6000; // the routers have registered
const revokedAfterMs = 500; // behind the silence
const watchedMs = 10_000; // behind the silence
const sendGapMs = 50;
const unstableMs = 500; // for which the bench counts the store as not stable, before `contact_ms`
const marginMs = 100;
const workMs = 20;
const slotCount = 6;

const startReplica = async (deployment, index) => {
  const id = `i-desk-${index + 1}`;
  const server = createReplicaServer(async (req, res) => {
    const attempt = req.headers["attempt-id"] ?? "";
    for await (const chunk of req) void chunk;
    if (req.headers["expect-replica"] !== id) {
      res.writeHead(421, { "Not-Executed": "1", "content-length": 0 });
      res.end();
      return;
    }
    deployment.runs.add(attempt);
    deployment.record(`${id} runs ${attempt}`);
    await sleep(workMs);
    const body = '{"booked":true}';
    res.writeHead(200, {
      "Attempt-Id": attempt,
      "Response-Seal": `${id}.${attempt}`,
      "content-type": "application/json",
      "content-length": body.length,
    });
    res.end(body);
  });
  await new Promise((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  deployment.stops.push(() => {
    server.closeAllConnections();
    server.close();
  });
  deployment.store.put(`servers/${id}`, {
    service: "arabaci-app",
    address: `127.0.0.1:${server.address().port}`,
    zone: `marmara-${"abc"[index % 3]}`,
    version: "v1",
    slot_count: slotCount,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born: Date.now(),
  });
};

const configOf = (version, keys) => ({
  version,
  routes: [
    routeOf({
      name: "trolley-booking",
      hostname,
      prefix: "/book/",
      kind: "non_idempotent",
      service: "arabaci-app",
    }),
  ],
  services: [{ name: "arabaci-app", health_check: "/health" }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [
    { name: "tenant-1", api_keys: [lastingKey], priority: 1 },
    { name: "tenant-2", api_keys: keys, priority: 1 },
  ],
});

const book = async (deployment, number, router) => {
  const attempt = `a-${number}`;
  const sentAt = performance.now();
  deployment.record(`sent ${attempt} to ${router.name}`);
  const seen = await sendRequest(router, {
    method: "POST",
    target: `/book/${number}`,
    headers: {
      host: hostname,
      authorization: `Bearer ${revokedKey}`,
      "attempt-id": attempt,
      "time-budget-ms": "2500",
    },
    body: "{}",
    timeoutMs: 3000,
  });
  deployment.record(`answered ${attempt}: ${seen.status} ${seen.end}`);
  return { attempt, sentAt, router: router.name, status: seen.status };
};

const play = async (deployment) => {
  deployment.runs = new Set();
  const store = await deployment.startStore();
  store.put("op/config", configOf(1, [revokedKey]));
  for (let index = 0; index < 3; index += 1)
    await startReplica(deployment, index);
  const proxies = [];
  for (let index = 0; index < 3; index += 1)
    proxies.push(await SilentProxy.create(deployment, store));
  await deployment.startRouters(3, (index) => proxies[index]);
  const sending = [];
  let number = 0;
  const sendFor = async (ms) => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      const { routers } = deployment;
      sending.push(book(deployment, number, routers[number % routers.length]));
      number += 1;
      await sleep(sendGapMs);
    }
  };
  await sendFor(settleMs);
  const silentAt = performance.now();
  if (hasTrouble) {
    const counts = proxies.map((proxy) => proxy.silence());
    deployment.record(
      `open channels to the store silent: ${counts.join(", ")}`,
    );
  }
  await sendFor(revokedAfterMs);
  store.put("op/config", configOf(2, []));
  const acknowledgedAt = performance.now();
  deployment.record("acknowledged: version 2, without the key");
  await sendFor(watchedMs - revokedAfterMs);
  const answers = await Promise.all(sending);
  const boundAt =
    Math.max(
      acknowledgedAt + bounds.configApplyMs,
      hasTrouble ? silentAt + unstableMs + bounds.contactMs : 0,
    ) + marginMs;
  deployment.record(
    `the key may not be served for requests sent later than ${(boundAt - deployment.startedAt).toFixed(0)}`,
  );
  if (!answers.some(({ status }) => status === 200))
    throw new Error("none served");
  return answers
    .filter(
      ({ attempt, sentAt }) => sentAt > boundAt && deployment.runs.has(attempt),
    )
    .map(
      ({ attempt, sentAt, router, status }) =>
        `${attempt} ran with the key taken away: sent to ${router} ${(sentAt - acknowledgedAt).toFixed(0)} ms after the acknowledgement and ${(sentAt - silentAt).toFixed(0)} ms after the silence, answered ${status}`,
    );
};

await runCase(folder, play);
