/** Client of the key-value service (etcd v3) over its JSON gateway. */

import type { Timestamp } from "@cardamomglade/common";
import {
  validateLeaseAnswer,
  validateRangeAnswer,
  validateTransactionAnswer,
  type LeaseAnswer,
  type RangeAnswer,
  type RangeResponse,
  type TransactionAnswer,
} from "@cardamomglade/schema";
import { Gateway, type GatewayOptions } from "./gateway.js";
import { readWatch } from "./readWatch.js";
import { onlyEra } from "./storePosition.js";
import {
  CallKind,
  type KeyValue,
  type KeyValueEntry,
  type LeaseGrant,
  type Outcome,
  type RangeResult,
  type WatchOptions,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
  type WatchHandle,
} from "./types.js";
import { prefixEnd, toEntry, toWire, toWireTransaction } from "./wire.js";

/** Endpoints and call budgets of the service. */
export type KeyValueClientOptions = GatewayOptions;

const msPerSecond = 1000;

const entriesOf = (range: RangeResponse | undefined): KeyValueEntry[] =>
  (range?.kvs ?? []).map(toEntry);

/** Calls the service over HTTP; one instance per process. */
export class KeyValueClient implements KeyValue {
  private constructor(private readonly gateway: Gateway) {}

  /** Creates a client, which connects on first use. */
  static create(options: KeyValueClientOptions): KeyValueClient {
    return new KeyValueClient(Gateway.create(options));
  }

  async range(
    key: string,
    options: { readonly prefix: boolean; readonly deadline: Timestamp },
  ): Promise<Outcome<RangeResult>> {
    const end = options.prefix ? { range_end: prefixEnd(key) } : {};
    const body = { key: toWire(key), ...end };
    const outcome = await this.gateway.call<RangeAnswer>({
      kind: CallKind.Read,
      path: "/v3/kv/range",
      body,
      deadline: options.deadline,
      isAnswer: validateRangeAnswer,
    });
    if (outcome.type !== "done") return outcome;
    const revision = Number(outcome.value.header.revision ?? 0);
    return {
      type: "done",
      value: { era: onlyEra, revision, entries: entriesOf(outcome.value) },
    };
  }

  async transact(
    transaction: Transaction,
    deadline: Timestamp,
  ): Promise<Outcome<TransactionResult>> {
    const body = toWireTransaction(transaction);
    const outcome = await this.gateway.call<TransactionAnswer>({
      kind: CallKind.Write,
      path: "/v3/kv/txn",
      body,
      deadline,
      isAnswer: validateTransactionAnswer,
    });
    if (outcome.type !== "done") return outcome;
    const answer = outcome.value;
    const ranges = (answer.responses ?? []).filter(
      (one) => one.response_range !== undefined,
    );
    return {
      type: "done",
      value: {
        succeeded: answer.succeeded ?? false,
        revision: Number(answer.header.revision ?? 0),
        reads: ranges.map((one) => entriesOf(one.response_range)),
      },
    };
  }

  async grantLease(
    ttlMs: number,
    deadline: Timestamp,
  ): Promise<Outcome<LeaseGrant>> {
    const body = { TTL: String(Math.ceil(ttlMs / msPerSecond)) };
    return this.leaseCall("/v3/lease/grant", body, deadline);
  }

  async keepLeaseAlive(
    id: string,
    deadline: Timestamp,
  ): Promise<Outcome<LeaseGrant>> {
    return this.leaseCall("/v3/lease/keepalive", { ID: id }, deadline);
  }

  async revokeLease(id: string, deadline: Timestamp): Promise<Outcome<void>> {
    const outcome = await this.gateway.call<LeaseAnswer>({
      kind: CallKind.Lease,
      path: "/v3/lease/revoke",
      body: { ID: id },
      deadline,
      isAnswer: validateLeaseAnswer,
    });
    return outcome.type === "done"
      ? { type: "done", value: undefined }
      : outcome;
  }

  watch(
    key: string,
    options: WatchOptions,
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle {
    const abort = new AbortController();
    const end = options.prefix ? { range_end: prefixEnd(key) } : {};
    const body = {
      create_request: {
        key: toWire(key),
        ...end,
        start_revision: String(options.after.revision + 1),
      },
    };
    this.gateway.count(CallKind.Watch);
    void readWatch(this.gateway, body, abort.signal, onEvent);
    return {
      close: () => {
        abort.abort();
      },
    };
  }

  callCounts() {
    return this.gateway.counts();
  }

  async close(): Promise<void> {
    await this.gateway.close();
  }

  private async leaseCall(
    path: string,
    body: object,
    deadline: Timestamp,
  ): Promise<Outcome<LeaseGrant>> {
    const outcome = await this.gateway.call<LeaseAnswer>({
      kind: CallKind.Lease,
      path,
      body,
      deadline,
      isAnswer: validateLeaseAnswer,
    });
    if (outcome.type !== "done") return outcome;
    const lease = outcome.value.result ?? outcome.value;
    return {
      type: "done",
      value: {
        id: lease.ID ?? "0",
        ttlMs: Number(lease.TTL ?? 0) * msPerSecond,
      },
    };
  }
}
