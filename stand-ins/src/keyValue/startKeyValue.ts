/** Stand-in for the key-value service: the etcd v3 JSON gateway over an in-memory store. */

import {
  sendJson,
  startServer,
  type Call,
  type StandInServer,
} from "../httpServer.js";
import { Store, type Change, type StoredEntry } from "./store.js";

interface WireCompare {
  key: string;
  target?: string;
  result?: string;
  mod_revision?: string;
  create_revision?: string;
  version?: string;
  value?: string;
}
interface WireOperation {
  request_put?: { key: string; value?: string; lease?: string };
  request_range?: { key: string; range_end?: string };
  request_delete_range?: { key: string; range_end?: string };
}
interface WireTransaction {
  compare?: WireCompare[];
  success?: WireOperation[];
  failure?: WireOperation[];
}

const maxValueBytes = 1_048_576;
const msPerSecond = 1000;
const leaseExpiryIntervalMs = 20;

const decode = (text: string | undefined): string =>
  Buffer.from(text ?? "", "base64").toString("latin1");
const encode = (text: string): string =>
  Buffer.from(text, "latin1").toString("base64");
const rangeEndOf = (text: string | undefined): string | undefined =>
  text === undefined ? undefined : decode(text);

const wireEntry = (entry: StoredEntry) => ({
  key: encode(entry.key),
  value: encode(entry.value),
  create_revision: String(entry.createRevision),
  mod_revision: String(entry.modRevision),
  version: String(entry.version),
  ...(entry.lease === "0" ? {} : { lease: entry.lease }),
});

const wireChange = (change: Change) => ({
  ...(change.type === "DELETE" ? { type: "DELETE" } : {}),
  kv: wireEntry(change.entry),
});

const compareNumbers = (
  actual: number,
  expectedText: string | undefined,
  result: string | undefined,
): boolean => {
  const expected = Number(expectedText ?? 0);
  if (result === "GREATER") return actual > expected;
  if (result === "LESS") return actual < expected;
  if (result === "NOT_EQUAL") return actual !== expected;
  return actual === expected;
};

const isSatisfied = (store: Store, compare: WireCompare): boolean => {
  const entry = store.get(decode(compare.key));
  switch (compare.target) {
    case "MOD":
      return compareNumbers(
        entry?.modRevision ?? 0,
        compare.mod_revision,
        compare.result,
      );
    case "CREATE":
      return compareNumbers(
        entry?.createRevision ?? 0,
        compare.create_revision,
        compare.result,
      );
    case "VALUE":
      return entry?.value === decode(compare.value);
    default:
      return compareNumbers(
        entry?.version ?? 0,
        compare.version,
        compare.result,
      );
  }
};

const applyOperation = (store: Store, operation: WireOperation) => {
  if (operation.request_put !== undefined) {
    const { key, value, lease } = operation.request_put;
    store.put(decode(key), decode(value), lease ?? "0");
    return { response_put: {} };
  }
  if (operation.request_delete_range !== undefined) {
    const { key, range_end } = operation.request_delete_range;
    return {
      response_delete_range: {
        deleted: String(store.delete(decode(key), rangeEndOf(range_end))),
      },
    };
  }
  const { key = "", range_end } = operation.request_range ?? {};
  return {
    response_range: {
      kvs: store.range(decode(key), rangeEndOf(range_end)).map(wireEntry),
    },
  };
};

const putErrorOf = (
  store: Store,
  operation: WireOperation,
): string | undefined => {
  const put = operation.request_put;
  if (put === undefined) return undefined;
  const lease = put.lease ?? "0";
  if (lease !== "0" && !store.hasLease(lease))
    return "etcdserver: requested lease not found";
  const bytes = Buffer.byteLength(put.value ?? "", "base64");
  return bytes > maxValueBytes ? "etcdserver: request is too large" : undefined;
};

const header = (store: Store) => ({ revision: String(store.revision) });

const transactionCall = (store: Store, call: Call): void => {
  const body = JSON.parse(call.body) as WireTransaction;
  store.expire();
  const succeeded = (body.compare ?? []).every((compare) =>
    isSatisfied(store, compare),
  );
  const operations = (succeeded ? body.success : body.failure) ?? [];
  const fault = operations
    .map((one) => putErrorOf(store, one))
    .find((one) => one !== undefined);
  if (fault !== undefined) {
    sendJson(call.res, 400, { code: 3, message: fault });
    return;
  }
  const responses = operations.map((one) => applyOperation(store, one));
  store.commit();
  sendJson(call.res, 200, { header: header(store), succeeded, responses });
};

const rangeCall = (store: Store, call: Call): void => {
  const body = JSON.parse(call.body) as { key: string; range_end?: string };
  store.expire();
  const kvs = store
    .range(decode(body.key), rangeEndOf(body.range_end))
    .map(wireEntry);
  sendJson(call.res, 200, {
    header: header(store),
    kvs,
    count: String(kvs.length),
  });
};

const leaseCall = (store: Store, call: Call): void => {
  const body = JSON.parse(call.body) as { TTL?: string; ID?: string };
  const id = body.ID ?? "0";
  if (call.path.endsWith("/grant")) {
    const ttl = Number(body.TTL ?? 1);
    sendJson(call.res, 200, {
      header: header(store),
      ID: store.grant(ttl * msPerSecond),
      TTL: String(ttl),
    });
    return;
  }
  if (call.path.endsWith("/revoke")) {
    store.revoke(id);
    sendJson(call.res, 200, { header: header(store) });
    return;
  }
  const ttlMs = store.keepAlive(id) ?? 0;
  sendJson(call.res, 200, {
    result: { header: header(store), ID: id, TTL: String(ttlMs / msPerSecond) },
  });
};

const watchCall = (store: Store, call: Call): void => {
  const { create_request: create } = JSON.parse(call.body) as {
    create_request: {
      key: string;
      range_end?: string;
      start_revision?: string;
    };
  };
  const key = decode(create.key);
  const end = rangeEndOf(create.range_end);
  const start = Number(create.start_revision ?? 0) || store.revision + 1;
  const { res } = call;
  const send = (result: object) => res.write(`${JSON.stringify({ result })}\n`);
  const matches = ({ entry }: Change) =>
    end === undefined
      ? entry.key === key
      : entry.key >= key && (end === "\0" || entry.key < end);
  const sendChanges = (changes: readonly Change[], revision: number) => {
    const events = changes.filter(matches).map(wireChange);
    if (events.length > 0)
      send({ header: { revision: String(revision) }, events });
  };
  res.writeHead(200, { "content-type": "application/json" });
  send({ header: header(store), created: true });
  if (start <= store.compactRevision) {
    send({
      header: header(store),
      canceled: true,
      compact_revision: String(store.compactRevision),
    });
    res.end();
    return;
  }
  for (const step of store.changesSince(start))
    sendChanges(step.changes, step.revision);
  const unsubscribe = store.subscribe(sendChanges);
  call.res.on("close", unsubscribe);
};

/** Number of calls per path. */
export type CallCounter = Map<string, number>;

const handle = (store: Store, counts: CallCounter, call: Call): boolean => {
  counts.set(call.path, (counts.get(call.path) ?? 0) + 1);
  switch (call.path) {
    case "/v3/kv/range":
      rangeCall(store, call);
      return true;
    case "/v3/kv/txn":
      transactionCall(store, call);
      return true;
    case "/v3/kv/compaction":
      store.compact(
        Number((JSON.parse(call.body) as { revision: string }).revision),
      );
      sendJson(call.res, 200, { header: header(store) });
      return true;
    case "/v3/lease/grant":
    case "/v3/lease/keepalive":
    case "/v3/lease/revoke":
      leaseCall(store, call);
      return true;
    case "/v3/watch":
      watchCall(store, call);
      return true;
    case "/ledger":
      sendJson(call.res, 200, {
        revision: store.revision,
        calls: Object.fromEntries(counts),
      });
      return true;
    default:
      return false;
  }
};

/** Starts a key-value service; port 0 takes a free one. */
export const startKeyValue = async (port: number): Promise<StandInServer> => {
  const store = Store.create();
  const counts: CallCounter = new Map();
  const server = await startServer(
    port,
    () => (call) => handle(store, counts, call),
  );
  const timer = setInterval(() => {
    store.expire();
  }, leaseExpiryIntervalMs);
  return {
    ...server,
    close: async () => {
      clearInterval(timer);
      await server.close();
    },
  };
};
