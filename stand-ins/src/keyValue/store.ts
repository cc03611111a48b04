/** In-memory store of keys, revisions, leases and watches, with the semantics of etcd. */

/** Stored value of one key, with its revisions and lease. */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly lease: string;
}

/** One change of a key. */
export interface Change {
  readonly type: "PUT" | "DELETE";
  readonly entry: StoredEntry;
}

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** Called with the changes of each new revision. */
export type ChangeListener = (
  changes: readonly Change[],
  revision: number,
) => void;

/** In-memory key-value store. */
export class Store {
  revision = 1;
  compactRevision = 0;
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<string, Lease>();
  private history: {
    readonly revision: number;
    readonly changes: readonly Change[];
  }[] = [];
  private readonly listeners = new Set<ChangeListener>();
  private pending: Change[] = [];
  private lastLeaseId = 1000;

  private constructor() {
    // Created by `create`.
  }

  static create(): Store {
    return new Store();
  }

  get(key: string): StoredEntry | undefined {
    return this.entries.get(key);
  }

  /** Entries from `key` up to but without `end`, or only `key` if there is no end. */
  range(key: string, end: string | undefined): StoredEntry[] {
    if (end === undefined) {
      const entry = this.entries.get(key);
      return entry === undefined ? [] : [entry];
    }
    const found = [...this.entries.values()].filter(
      (entry) => entry.key >= key && (end === "\0" || entry.key < end),
    );
    return found.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  put(key: string, value: string, lease: string): void {
    const old = this.entries.get(key);
    const modRevision = this.revision + 1;
    const entry = {
      key,
      value,
      createRevision: old?.createRevision ?? modRevision,
      modRevision,
      version: (old?.version ?? 0) + 1,
      lease,
    };
    this.entries.set(key, entry);
    this.pending.push({ type: "PUT", entry });
  }

  delete(key: string, end: string | undefined): number {
    const found = this.range(key, end);
    for (const entry of found) {
      this.entries.delete(entry.key);
      this.pending.push({
        type: "DELETE",
        entry: { ...entry, value: "", modRevision: this.revision + 1 },
      });
    }
    return found.length;
  }

  /** Commits the pending changes as one revision. */
  commit(): void {
    if (this.pending.length === 0) return;
    this.revision += 1;
    const changes = this.pending;
    this.pending = [];
    this.history.push({ revision: this.revision, changes });
    for (const listener of this.listeners) listener(changes, this.revision);
  }

  changesSince(revision: number): readonly {
    readonly revision: number;
    readonly changes: readonly Change[];
  }[] {
    return this.history.filter((step) => step.revision >= revision);
  }

  compact(revision: number): void {
    this.compactRevision = revision;
    this.history = this.history.filter((step) => step.revision > revision);
  }

  subscribe(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  grant(ttlMs: number): string {
    this.lastLeaseId += 1;
    const id = String(this.lastLeaseId);
    this.leases.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
    return id;
  }

  /** Renews a lease and returns its time to live; undefined if it has expired. */
  keepAlive(id: string): number | undefined {
    this.expire();
    const lease = this.leases.get(id);
    if (lease === undefined) return undefined;
    lease.expiresAt = Date.now() + lease.ttlMs;
    return lease.ttlMs;
  }

  hasLease(id: string): boolean {
    return this.leases.has(id);
  }

  revoke(id: string): void {
    this.leases.delete(id);
    for (const entry of [...this.entries.values()]) {
      if (entry.lease === id) this.delete(entry.key, undefined);
    }
    this.commit();
  }

  /** Revokes every expired lease. */
  expire(): void {
    const now = Date.now();
    for (const [id, lease] of [...this.leases]) {
      if (lease.expiresAt <= now) this.revoke(id);
    }
  }
}
