/** Stand-in of the platform's store: items, leases, watches, transactions (PROTOCOL.md). */
import { Buffer } from "node:buffer";
import http from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";

const answer = (res, status, body) => {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
};

const readBody = (req) =>
  new Promise((resolve) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
  });

export class Store {
  items = new Map();
  changes = [];
  revision = 1;
  oldest = 1;
  leases = new Map();
  lastLease = 0;
  waiting = new Set();
  /** The watches that wait. */
  open = new Set();
  /** "answers", "busy" (503), "reset" or "silent". */
  mode = "answers";
  pageSize = 500;

  static async start(host = "127.0.0.1") {
    const store = new Store();
    store.server = http.createServer((req, res) => {
      void store.serve(req, res);
    });
    await new Promise((resolve) => store.server.listen(0, host, resolve));
    store.address = `${host}:${String(store.server.address().port)}`;
    return store;
  }

  put(key, value, lease = 0) {
    this.revision += 1;
    this.write(
      key,
      Buffer.from(JSON.stringify(value)).toString("base64"),
      lease,
    );
    this.wake();
  }

  write(key, value, lease) {
    const created = this.items.get(key)?.created_at ?? this.revision;
    const item = {
      key,
      value,
      revision: this.revision,
      created_at: created,
      lease_id: lease,
    };
    this.items.set(key, item);
    this.changes.push(item);
  }

  erase(key) {
    if (!this.items.delete(key)) return;
    this.changes.push({ key, revision: this.revision, tombstone: true });
  }

  remove(key) {
    this.revision += 1;
    this.erase(key);
    this.wake();
  }

  /** Ends all leases, and removes their keys. */
  lapse() {
    for (const id of [...this.leases.keys()]) this.endLease(id);
  }

  endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    this.revision += 1;
    for (const { key, lease_id: lease } of [...this.items.values()])
      if (lease === id) this.erase(key);
    this.wake();
  }

  wake() {
    for (const look of [...this.waiting]) look();
  }

  /** Cuts the channels of all watches that wait. */
  cutWatches() {
    for (const { res } of [...this.open]) res.socket?.destroy();
  }

  /** Resolves as soon as a watch waits. */
  async watched() {
    while (this.waiting.size === 0) await sleep(5);
  }

  stop() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(req, res) {
    const url = new URL(req.url, "http://store");
    const text = await readBody(req);
    this.onCall?.(`${req.method} ${req.url}`);
    if (this.mode === "busy") return answer(res, 503, {});
    if (this.mode === "reset") return res.socket.resetAndDestroy();
    if (this.mode === "silent") return undefined;
    const query = url.searchParams;
    const { pathname: path } = url;
    if (path === "/-/kv-key") {
      const item = this.items.get(query.get("key"));
      return item
        ? answer(res, 200, { ...item, at_revision: this.revision })
        : answer(res, 404, { at_revision: this.revision });
    }
    if (path === "/-/kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const found = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return answer(res, 200, {
        entries: found.slice(0, this.pageSize),
        has_more: found.length > this.pageSize,
        at_revision: this.revision,
      });
    }
    if (path === "/-/kv-watch") return this.watch(query, res);
    if (path === "/-/kv-lease") return this.grant(JSON.parse(text), res);
    const [, , call, id] = path.split("/");
    const lease = this.leases.get(Number(id));
    if (call === "kv-keep") {
      if (!lease) return answer(res, 404, {});
      lease.timer.refresh();
      return answer(res, 200, { ttl_ms: lease.ttl });
    }
    if (call === "kv-lease-end") {
      if (!lease) return answer(res, 404, {});
      this.endLease(Number(id));
      return answer(res, 200, {});
    }
    if (path === "/-/kv-txn") return this.transact(JSON.parse(text), res);
    return answer(res, 404, {});
  }

  grant({ ttl_ms: ttl }, res) {
    this.lastLease += 1;
    const id = this.lastLease;
    const timer = setTimeout(() => this.endLease(id), ttl);
    this.leases.set(id, { ttl, timer });
    answer(res, 200, { lease_id: id, ttl_ms: ttl });
  }

  transact({ expected = [], writes = [], remove = [] }, res) {
    const isSame = ({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isSame)) {
      const entries = expected.map(
        ({ key }) => this.items.get(key) ?? { key, revision: 0 },
      );
      return answer(res, 412, { entries });
    }
    if (writes.some(({ lease_id: id }) => id > 0 && !this.leases.has(id)))
      return answer(res, 404, {});
    this.revision += 1;
    for (const { key, value, lease_id: id = 0 } of writes)
      this.write(key, value, id);
    for (const key of remove) this.erase(key);
    this.wake();
    return answer(res, 200, { revision: this.revision });
  }

  watch(query, res) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after + 1 < this.oldest) return answer(res, 410, {});
    const events = () =>
      this.changes.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
    const entry = { res };
    const finish = () => {
      clearTimeout(timer);
      this.open.delete(entry);
      this.waiting.delete(look);
      if (this.mode !== "silent")
        answer(res, 200, { events: events(), at_revision: this.revision });
    };
    const look = () => {
      if (events().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get("wait_ms") ?? 0));
    this.waiting.add(look);
    this.open.add(entry);
    res.on("close", () => {
      clearTimeout(timer);
      this.open.delete(entry);
      this.waiting.delete(look);
    });
    look();
    return undefined;
  }
}
