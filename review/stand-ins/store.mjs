/** Stand-in for the platform's metadata store: keys with revisions, leases, paged lists and waiting watches. */

import { clearTimeout, setTimeout } from "node:timers";
import http from "node:http";
import { Buffer } from "node:buffer";

const pageSize = 500;
const maxEntries = 32;
const idleConnectionMs = 75_000; // of the idle channels of callers

const sendJson = (res, status, body) => {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
};

const readBody = async (req) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
};

/** A store that loses nothing and answers at once. */
export class Store {
  items = new Map();
  changes = [];
  revision = 1;
  leaseCount = 0;
  leases = new Map();
  watches = new Set();

  static async create(host) {
    const store = new Store();
    store.server = http.createServer((req, res) => {
      void store.serve(req, res);
    });
    store.server.keepAliveTimeout = idleConnectionMs;
    await new Promise((resolve) => {
      store.server.listen(0, host, resolve);
    });
    store.host = host;
    store.port = store.server.address().port;
    return store;
  }

  /** Writes a document as the operator or a replica does. */
  put(key, document) {
    this.apply([{ key, value: JSON.stringify(document), lease_id: 0 }], []);
  }

  remove(key) {
    this.apply([], [key]);
  }

  apply(writes, removed) {
    this.revision += 1;
    const { revision } = this;
    for (const { key, value, lease_id: lease } of writes) {
      const item = {
        key,
        value: Buffer.from(value).toString("base64"),
        revision,
        created_at: this.items.get(key)?.created_at ?? revision,
        lease_id: lease ?? 0,
      };
      this.items.set(key, item);
      this.changes.push(item);
    }
    for (const key of removed) {
      if (!this.items.delete(key)) continue;
      this.changes.push({ key, revision, tombstone: true });
    }
    for (const wake of [...this.watches]) wake();
    return revision;
  }

  async serve(req, res) {
    const url = new URL(req.url, "http://store");
    const text = await readBody(req);
    const body = text === "" ? {} : JSON.parse(text);
    const { pathname: path, searchParams: query } = url;
    if (path === "/-/kv-key") this.read(query, res);
    else if (path === "/-/kv-range") this.list(query, res);
    else if (path === "/-/kv-watch") this.watch(query, res);
    else if (path === "/-/kv-txn") this.transact(body, res);
    else if (path === "/-/kv-lease") this.grant(body, res);
    else if (path.startsWith("/-/kv-keep/")) this.renew(path, res);
    else if (path.startsWith("/-/kv-lease-end/")) this.endLease(path, res);
    else sendJson(res, 404, {});
  }

  read(query, res) {
    const item = this.items.get(query.get("key"));
    const { revision: at_revision } = this;
    sendJson(res, item === undefined ? 404 : 200, { ...item, at_revision });
  }

  list(query, res) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, 200, {
      entries: found.slice(0, pageSize),
      has_more: found.length > pageSize,
      at_revision: this.revision,
    });
  }

  watch(query, res) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const changesSince = () =>
      this.changes.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
    const finish = () => {
      clearTimeout(timer);
      this.watches.delete(wake);
      sendJson(res, 200, {
        events: changesSince(),
        at_revision: this.revision,
      });
    };
    const wake = () => {
      if (changesSince().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get("wait_ms")));
    this.watches.add(wake);
    res.on("close", () => {
      clearTimeout(timer);
      this.watches.delete(wake);
    });
    wake();
  }

  transact({ expected = [], writes = [], remove = [] }, res) {
    const isAllowed = [...writes.map(({ key }) => key), ...remove].every(
      (key) => !key.startsWith("op/") && !key.startsWith("servers/"),
    );
    if (!isAllowed || writes.length + remove.length > maxEntries) {
      sendJson(res, 403, {});
      return;
    }
    const isAsExpected = expected.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isAsExpected) {
      const entries = expected.map(
        ({ key }) => this.items.get(key) ?? { key, revision: 0 },
      );
      sendJson(res, 412, { entries });
      return;
    }
    if (writes.some((one) => one.lease_id && !this.leases.has(one.lease_id))) {
      sendJson(res, 404, {});
      return;
    }
    const decoded = writes.map((one) => ({
      ...one,
      value: Buffer.from(one.value, "base64").toString("utf8"),
    }));
    sendJson(res, 200, { revision: this.apply(decoded, remove) });
  }

  grant({ ttl_ms }, res) {
    this.leaseCount += 1;
    const lease_id = this.leaseCount;
    this.leases.set(lease_id, { ttl_ms });
    this.extend(lease_id);
    sendJson(res, 200, { lease_id, ttl_ms });
  }

  extend(id) {
    const lease = this.leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => {
      this.dropLease(id);
    }, lease.ttl_ms);
    lease.timer.unref();
  }

  dropLease(id) {
    this.leases.delete(id);
    const keys = [...this.items.values()]
      .filter(({ lease_id: lease }) => lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.apply([], keys);
  }

  renew(path, res) {
    const id = Number(path.split("/").at(-1));
    if (this.leases.has(id)) this.extend(id);
    sendJson(res, this.leases.has(id) ? 200 : 404, {});
  }

  endLease(path, res) {
    this.dropLease(Number(path.split("/").at(-1)));
    sendJson(res, 200, {});
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
