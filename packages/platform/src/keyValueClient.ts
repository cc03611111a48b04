/** Client of the key-value service over its JSON gateway. */

import { Agent, request, type buildConnector } from "undici";
import { abortAt, now, type Moment } from "@cardamomglade/common";
import {
  CallKind,
  type CallFailure,
  type KeyValue,
  type KeyValueEntry,
  type LeaseGrant,
  type Outcome,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchChange,
  type WatchEvent,
  type WatchHandle,
} from "./types.js";
import {
  fromWire,
  prefixEnd,
  toEntry,
  toNumber,
  toWire,
  toWireTransaction,
  type WireEntry,
  type WireHeader,
} from "./wire.js";

/** Where the service is. */
export interface KeyValueClientOptions {
  readonly endpoints: readonly string[];
  /** Makes connections; plain ones where it is left out. */
  readonly connector?: buildConnector.connector;
}

interface WireRange {
  header?: WireHeader;
  kvs?: WireEntry[];
}
interface WireTransactionAnswer {
  header?: WireHeader;
  succeeded?: boolean;
  responses?: { response_range?: WireRange }[];
}
interface WireLease {
  ID?: string;
  TTL?: string;
  result?: { ID?: string; TTL?: string };
}
interface WireWatch {
  result?: {
    header?: WireHeader;
    canceled?: boolean;
    compact_revision?: string;
    events?: { type?: string; kv: WireEntry }[];
  };
}

const msPerSecond = 1000;
const maxAnswerBytes = 32 * 1024 * 1024;
const maxWatchLineChars = 16 * 1024 * 1024;

const failureOf = (error: unknown): CallFailure => {
  const message = error instanceof Error ? error.message : String(error);
  const name = error instanceof Error ? error.name : "";
  const type =
    name === "TimeoutError" || name === "AbortError" ? "timeout" : "connection";
  return { type, message };
};

// Refused connections never reached the service, so the call had no effect.
const wasNeverSent = (error: unknown): boolean =>
  error instanceof Error && "code" in error && error.code === "ECONNREFUSED";

const entriesOf = (range: WireRange | undefined): KeyValueEntry[] =>
  (range?.kvs ?? []).map(toEntry);

/** Any answer; each call reads the fields of its own. */
type WireAnswer = WireRange & WireTransactionAnswer & WireLease;

interface WireCall {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: object;
}

const resultOf = (answer: WireTransactionAnswer): TransactionResult => {
  const ranges = (answer.responses ?? []).filter(
    (one) => one.response_range !== undefined,
  );
  return {
    succeeded: answer.succeeded ?? false,
    revision: toNumber(answer.header?.revision),
    reads: ranges.map((one) => entriesOf(one.response_range)),
  };
};

const grantOf = (answer: WireLease): LeaseGrant => {
  const lease = answer.result ?? answer;
  return {
    id: lease.ID ?? "0",
    ttlMs: toNumber(lease.TTL) * msPerSecond,
  };
};

const decodeAnswer = <T>(
  path: string,
  answer: WireAnswer,
  decode: (answer: WireAnswer) => T,
): Outcome<T> => {
  try {
    return { type: "done", value: decode(answer) };
  } catch (error) {
    const message = `${path} answered a malformed body: ${String(error)}`;
    return { type: "unknown", failure: { type: "malformed", message } };
  }
};

/** The service over HTTP; one client a process. */
export class KeyValueClient implements KeyValue {
  private readonly agent: Agent;
  private readonly watchAgent: Agent;
  private readonly made = { read: 0, write: 0, lease: 0, watch: 0 };
  private next = 0;

  private constructor(private readonly options: KeyValueClientOptions) {
    const { connector: connect } = options;
    const common = {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(connect && { connect }),
    };
    const maxResponseSize = maxAnswerBytes;
    this.agent = new Agent({ ...common, connections: 16, maxResponseSize });
    this.watchAgent = new Agent({ ...common, connections: null });
  }

  /** A client; connects on first use. */
  static create(options: KeyValueClientOptions): KeyValueClient {
    return new KeyValueClient(options);
  }

  async range(
    key: string,
    options: { readonly prefix: boolean; readonly deadline: Moment },
  ): Promise<Outcome<RangeResult>> {
    const end = options.prefix ? { range_end: prefixEnd(key) } : {};
    const body = { key: toWire(key), ...end };
    return this.call(
      { kind: CallKind.Read, path: "/v3/kv/range", body },
      options.deadline,
      (answer) => ({
        revision: toNumber(answer.header?.revision),
        entries: entriesOf(answer),
      }),
    );
  }

  async transact(
    transaction: Transaction,
    deadline: Moment,
  ): Promise<Outcome<TransactionResult>> {
    const body = toWireTransaction(transaction);
    return this.call(
      { kind: CallKind.Write, path: "/v3/kv/txn", body },
      deadline,
      resultOf,
    );
  }

  async grantLease(
    ttlMs: number,
    deadline: Moment,
  ): Promise<Outcome<LeaseGrant>> {
    const body = { TTL: String(Math.ceil(ttlMs / msPerSecond)) };
    return this.leaseCall("/v3/lease/grant", body, deadline);
  }

  async keepLeaseAlive(
    id: string,
    deadline: Moment,
  ): Promise<Outcome<LeaseGrant>> {
    return this.leaseCall("/v3/lease/keepalive", { ID: id }, deadline);
  }

  async revokeLease(id: string, deadline: Moment): Promise<Outcome<void>> {
    return this.call(
      { kind: CallKind.Lease, path: "/v3/lease/revoke", body: { ID: id } },
      deadline,
      () => undefined,
    );
  }

  watch(
    key: string,
    options: { readonly prefix: boolean; readonly fromRevision: number },
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle {
    const abort = new AbortController();
    const end = options.prefix ? { range_end: prefixEnd(key) } : {};
    const body = {
      create_request: {
        key: toWire(key),
        ...end,
        start_revision: String(options.fromRevision),
      },
    };
    this.made.watch += 1;
    void this.runWatch(body, abort.signal, onEvent);
    return {
      close: () => {
        abort.abort();
      },
    };
  }

  counts() {
    return { ...this.made };
  }

  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()]);
  }

  private endpoint(): string {
    const { endpoints } = this.options;
    return endpoints[this.next % endpoints.length] ?? "";
  }

  private async leaseCall(
    path: string,
    body: object,
    deadline: Moment,
  ): Promise<Outcome<LeaseGrant>> {
    return this.call({ kind: CallKind.Lease, path, body }, deadline, grantOf);
  }

  // An answer that cannot be decoded leaves the call's effect unknown.
  private async call<T>(
    { kind, path, body }: WireCall,
    deadline: Moment,
    decode: (answer: WireAnswer) => T,
  ): Promise<Outcome<T>> {
    const remaining = deadline - now();
    if (remaining <= 0) {
      return {
        type: "refused",
        failure: {
          type: "timeout",
          message: `deadline of ${path} passed before it was sent`,
        },
      };
    }
    this.made[kind] += 1;
    try {
      const res = await request(`${this.endpoint()}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        dispatcher: this.agent,
        signal: abortAt(deadline),
      });
      if (res.statusCode !== 200) {
        const message = `${path} answered ${String(res.statusCode)}: ${await res.body.text()}`;
        const type = res.statusCode < 500 ? "refused" : "unknown";
        return { type, failure: { type: "status", message } };
      }
      return decodeAnswer(path, (await res.body.json()) as WireAnswer, decode);
    } catch (error) {
      this.next += 1;
      return {
        type: wasNeverSent(error) ? "refused" : "unknown",
        failure: failureOf(error),
      };
    }
  }

  private async runWatch(
    body: object,
    signal: AbortSignal,
    onEvent: (event: WatchEvent) => void,
  ): Promise<void> {
    try {
      const res = await request(`${this.endpoint()}/v3/watch`, {
        method: "POST",
        body: JSON.stringify(body),
        dispatcher: this.watchAgent,
        signal,
      });
      const decoder = new TextDecoder();
      let rest = "";
      for await (const chunk of res.body) {
        const lines = (
          rest + decoder.decode(chunk as Uint8Array, { stream: true })
        ).split("\n");
        rest = lines.pop() ?? "";
        if (rest.length > maxWatchLineChars)
          throw new Error(
            `a watch line exceeds ${String(maxWatchLineChars)} characters`,
          );
        for (const line of lines)
          reportWatch(JSON.parse(line) as WireWatch, onEvent);
      }
      onEvent({
        type: "lost",
        failure: { type: "connection", message: "watch ended" },
      });
    } catch (error) {
      if (signal.aborted) return;
      this.next += 1;
      onEvent({ type: "lost", failure: failureOf(error) });
    }
  }
}

const toChange = (event: { type?: string; kv: WireEntry }): WatchChange =>
  event.type === "DELETE"
    ? {
        type: "delete",
        key: fromWire(event.kv.key),
        modRevision: toNumber(event.kv.mod_revision),
      }
    : { type: "put", entry: toEntry(event.kv) };

const reportWatch = (
  message: WireWatch,
  onEvent: (event: WatchEvent) => void,
): void => {
  const { result } = message;
  if (result === undefined) return;
  const compactRevision = toNumber(result.compact_revision);
  if (compactRevision > 0) {
    onEvent({ type: "compacted", compactRevision });
    return;
  }
  const changes = (result.events ?? []).map(toChange);
  if (changes.length === 0) return;
  onEvent({
    type: "changes",
    revision: toNumber(result.header?.revision),
    changes,
  });
};
