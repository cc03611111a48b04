/** In-memory model of the key-value service on a virtual clock. */

interface StoredKey {
  readonly value: string;
  readonly createRevision: number;
  readonly lease: string;
}

/** Stores keys with leases and revisions. */
export class SimulatedKeyValueStore {
  private readonly folders = new Map<string, Map<string, StoredKey>>();
  writes = 0;
  private revision = 1;
  private readonly leases = new Map<
    string,
    { ttlMs: number; expiresAt: number }
  >();

  private constructor(private readonly onChange: () => void) {}

  static create(onChange: () => void): SimulatedKeyValueStore {
    return new SimulatedKeyValueStore(onChange);
  }

  /** Revokes every lease that has expired. */
  expire(at: number): void {
    for (const [id, { expiresAt }] of this.leases)
      if (expiresAt <= at) this.revoke(id);
  }

  grant(ttlMs: number, at: number): string {
    this.revision += 1;
    const id = String(this.revision);
    this.leases.set(id, { ttlMs, expiresAt: at + ttlMs });
    return id;
  }

  /** Renews a lease; returns its time to live in milliseconds, or 0 if it has expired. */
  keepAlive(id: string, at: number): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = at + lease.ttlMs;
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

  /** Entries of a folder, whose name ends with a slash. */
  entriesIn(folder: string): [string, StoredKey][] {
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
