/**
 * The store cuts a watch that waits, and at the same moment a replica leaves without reporting
 * that it drains: its entry is removed, and it serves on for its drain time and a little longer.
 */
import { fileURLToPath } from "node:url";
import {
  Record,
  Replica,
  Router,
  clock,
  configOf,
  endAll,
  send,
  sleep,
} from "../stand-ins-2/deployment.mjs";
import { Store } from "../stand-ins-2/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = new Record(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const drainMs = 2000; // drain_timeout_ms
const littleLongerMs = 150;
const requestGapMs = 12;

const runs = [];
const answers = [];
let code = 2;
const store = await Store.start();
try {
  const service = "desk";
  store.onCall = (call) => record.add(`store: is asked ${call}`);
  let goneAt;
  const onLine = (told) => {
    if (told.type !== "run") return;
    const since =
      goneAt === undefined
        ? ""
        : `, ${String(clock() - goneAt)} ms after i-1's entry was removed`;
    runs.push({ ...told, at: clock() });
    record.add(
      `replica ${told.replica}: runs ${told.attempt}${told.replica === "i-1" ? since : ""}`,
    );
  };
  const replicas = [];
  for (const id of ["i-1", "i-2", "i-3"])
    replicas.push(await Replica.start({ id, service, slots: 6, onLine }));
  store.put(
    "op/config",
    configOf({
      routes: [
        {
          prefix: "/book/",
          kind: "non_idempotent",
          service,
          timeout_ms: 1200,
          target_latency_ms: 150,
        },
      ],
      services: [
        {
          name: service,
          health_check: "/health",
          max_connections: 100,
          protocol: "h1",
          tls: false,
        },
      ],
    }),
  );
  for (const replica of replicas)
    store.put(`servers/${replica.id}`, replica.entry());
  const [leaving] = replicas;
  const router = await Router.start({ name: "edge-1", store: store.address });
  await sleep(4000); // longer than contact_ms

  const pending = [];
  let number = 0;
  const request = async () => {
    number += 1;
    const attempt = `a-${String(number)}`;
    record.add(`client: sends ${attempt}`);
    const answer = await send({
      host: router.host,
      method: "POST",
      path: `/book/${String(number)}`,
      headers: {
        host: "site.example",
        "attempt-id": attempt,
        "time-budget-ms": "2500",
      },
      body: "a booking",
    });
    answers.push({ attempt, ...answer });
    record.add(
      `client: ${attempt} is answered ${String(answer.status)}, ${answer.end}`,
    );
  };
  const sendFor = async (ms) => {
    const until = clock() + ms;
    while (clock() < until) {
      pending.push(request());
      await sleep(requestGapMs);
    }
  };
  const sending = sendFor(500 + drainMs + 1000);
  await sleep(500);
  if (hasTrouble) {
    await store.watched();
    store.cutWatches();
    record.add("store: cuts the watch that waits");
  }
  store.remove("servers/i-1");
  goneAt = clock();
  record.add("store: i-1's entry is removed");
  await sleep(drainMs + littleLongerMs);
  leaving.tell({ exit: true });
  record.add("i-1 exits");
  await sending;
  await Promise.all(pending);

  const late = runs.filter(
    ({ replica, at }) => replica === "i-1" && at > goneAt + drainMs,
  );
  for (const { attempt, at } of late)
    record.add(
      `DRAIN: ${attempt} reached i-1 ${String(at - goneAt)} ms after the store had acknowledged that it is gone`,
    );
  if (!router.isRunning) throw new Error("the router has ended");
  const good = answers.filter(({ status }) => status === 200).length;
  const isPlayed = good > 0.9 * number;
  code = late.length > 0 ? 1 : isPlayed ? 0 : 2;
  const lost = answers.filter(({ status }) => status !== 200);
  for (const { attempt, status, end } of lost)
    record.add(`lost: ${attempt} got no success (${String(status)}, ${end})`);
  record.add(
    `${String(good)} successes of ${String(number)}; ${String(late.length)} requests reached i-1 later than drain_timeout_ms`,
  );
  router.remove();
} catch (error) {
  record.add(`the case could not run: ${String(error.stack)}`);
} finally {
  await endAll();
  store.stop();
  record.add(`exit code ${String(code)} after ${String(clock())} ms`);
  record.save();
}
process.exit(code);
