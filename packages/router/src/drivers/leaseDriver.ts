/** Performs lease calls on the key-value service. */

import { assertNever, createChannel, now } from "@cardamomglade/common";
import type { LeaseCall, LeaseEvent } from "@cardamomglade/decisions";
import type { KeyValue } from "@cardamomglade/platform";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

/** Key prefix of the lease holders, after the router's own prefix. */
export const roleKeyPrefix = "roles/";

type LeaseCallOf<T extends LeaseCall["type"]> = Extract<LeaseCall, { type: T }>;

/** Grants, acquires, renews and revokes leases. */
export const createLeaseDriver = (
  keyValue: KeyValue,
  prefix: string,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();

  const grant = async (call: LeaseCallOf<"grant">): Promise<LeaseEvent> => {
    const { sentAt, ttlMs, deadline } = call;
    const outcome = await keyValue.grantLease(ttlMs, deadline);
    const at = now();
    if (outcome.type !== "done") return { type: "grantFailed", at, sentAt };
    const { id: leaseId, ttlMs: granted } = outcome.value;
    return { type: "granted", at, sentAt, leaseId, ttlMs: granted };
  };

  const acquire = async (
    role: string,
    call: LeaseCallOf<"acquire">,
  ): Promise<LeaseEvent> => {
    const { sentAt, leaseId: lease, holder: value, deadline } = call;
    const key = `${prefix}${roleKeyPrefix}${role}`;
    const read = { type: "read" as const, key };
    const outcome = await keyValue.transact(
      {
        compare: [{ type: "createRevision", key, revision: 0 }],
        success: [{ type: "put", key, value, lease }, read],
        failure: [read],
      },
      deadline,
    );
    const at = now();
    if (outcome.type !== "done") return { type: "acquireFailed", at, sentAt };
    const entry = outcome.value.reads[0]?.[0];
    const found =
      entry === undefined
        ? undefined
        : { leaseId: entry.lease, createRevision: entry.createRevision };
    return { type: "acquireAnswered", at, sentAt, found };
  };

  const renew = async (call: LeaseCallOf<"renew">): Promise<LeaseEvent> => {
    const { sentAt, leaseId, deadline } = call;
    const outcome = await keyValue.keepLeaseAlive(leaseId, deadline);
    const at = now();
    if (outcome.type !== "done") return { type: "renewFailed", at, sentAt };
    return { type: "renewed", at, sentAt, ttlMs: outcome.value.ttlMs };
  };

  const performCall = async (
    role: string,
    call: LeaseCall,
  ): Promise<LeaseEvent | undefined> => {
    switch (call.type) {
      case "grant":
        return grant(call);
      case "acquire":
        return acquire(role, call);
      case "renew":
        return renew(call);
      case "revoke":
        await keyValue.revokeLease(call.leaseId, call.deadline);
        return undefined;
      default:
        return assertNever(call);
    }
  };

  const performAndReport = async (
    role: string,
    call: LeaseCall,
  ): Promise<void> => {
    const event = await performCall(role, call);
    if (event === undefined) return;
    channel.push({ type: "leaseAnswered", at: event.at, role, answer: event });
  };

  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type === "leaseCall")
        void performAndReport(command.role, command.call);
    },
    stop: () => Promise.resolve(),
  };
};
