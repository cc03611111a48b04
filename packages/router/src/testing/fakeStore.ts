/** The key-value service's semantics in memory on a virtual clock. */

interface StoredKey {
  readonly value: string;
  readonly createRevision: number;
  readonly lease: string;
}

/** Keys, leases and revisions. */
export class FakeStore {
  private readonly folders = new Map<string, Map<string, StoredKey>>();
  writes = 0;
  private revision = 1;
  private readonly leases = new Map<string, { ttlMs: number; until: number }>();

  private constructor(private readonly onChange: () => void) {}

  static create(onChange: () => void): FakeStore {
    return new FakeStore(onChange);
  }

  /** Ends every lease whose time is over. */
  expire(at: number): void {
    for (const [id, { until }] of this.leases) if (until <= at) this.revoke(id);
  }

  grant(ttlMs: number, at: number): string {
    this.revision += 1;
    const id = String(this.revision);
    this.leases.set(id, { ttlMs, until: at + ttlMs });
    return id;
  }

  /** The time to live, or 0 where the lease is over. */
  keepAlive(id: string, at: number): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.until = at + lease.ttlMs;
    return lease.ttlMs;
  }

  revoke(id: string): void {
    if (!this.leases.delete(id)) return;
    for (const keys of this.folders.values())
      for (const [key, { lease }] of keys) if (lease === id) keys.delete(key);
    this.onChange();
  }

  createRevisionOf(key: string): number {
    return this.get(key)?.createRevision ?? 0;
  }

  put(key: string, value: string, lease = ""): void {
    if (lease !== "" && !this.leases.has(lease)) return;
    this.revision += 1;
    const createRevision = this.createRevisionOf(key) || this.revision;
    this.folderOf(key).set(key, { value, createRevision, lease });
    if (lease !== "") this.onChange();
  }

  get(key: string): StoredKey | undefined {
    return this.folderOf(key).get(key);
  }

  delete(key: string): void {
    this.folderOf(key).delete(key);
  }

  /** Entries of a folder; its name ends with a slash. */
  below(folder: string): [string, StoredKey][] {
    return [...this.folderOf(folder)];
  }

  private folderOf(key: string): Map<string, StoredKey> {
    const name = key.slice(0, key.lastIndexOf("/") + 1);
    const known = this.folders.get(name);
    if (known !== undefined) return known;
    const created = new Map<string, StoredKey>();
    this.folders.set(name, created);
    return created;
  }
}
