/** Lease calls on the key-value service of a simulated cluster. */

import { assertNever } from "@cardamomglade/common";
import type { LeaseEvent } from "@cardamomglade/decisions";
import type { RouterCommandOf, RouterEvent } from "../types.js";
import type { LedgerCluster, SimulatedRouter } from "./ledgerCluster.js";

/** Grants, acquires, renews and revokes leases as the lease driver does. */
export const performLeaseCall = (
  cluster: LedgerCluster,
  router: SimulatedRouter,
  { role, call }: RouterCommandOf<"leaseCall">,
): void => {
  const { store, simulation } = cluster;
  const { deadline } = call;
  const toEvent =
    (create: (at: number) => LeaseEvent) =>
    (at: number): RouterEvent => ({
      type: "leaseAnswered",
      at,
      role,
      answer: create(at),
    });
  switch (call.type) {
    case "grant": {
      const { sentAt, ttlMs } = call;
      const grant = () => store.grant(ttlMs, simulation.now);
      cluster.callStore(router, deadline, grant, (leaseId) =>
        toEvent((at) =>
          leaseId === undefined
            ? { type: "grantFailed", at, sentAt }
            : { type: "granted", at, sentAt, leaseId, ttlMs },
        ),
      );
      return;
    }
    case "acquire": {
      const { sentAt, leaseId, holder } = call;
      const key = `roles/${role}`;
      const acquire = () => {
        if (store.createRevisionOf(key) === 0) store.put(key, holder, leaseId);
        const found = store.get(key);
        return { found };
      };
      cluster.callStore(router, deadline, acquire, (answer) =>
        toEvent((at) => {
          if (answer === undefined)
            return { type: "acquireFailed", at, sentAt };
          const { found } = answer;
          const { lease = "", createRevision = 0 } = found ?? {};
          const holderFound =
            found === undefined
              ? undefined
              : { leaseId: lease, createRevision };
          return { type: "acquireAnswered", at, sentAt, found: holderFound };
        }),
      );
      return;
    }
    case "renew": {
      const { sentAt, leaseId } = call;
      const renew = () => store.keepAlive(leaseId, simulation.now);
      cluster.callStore(router, deadline, renew, (ttlMs) =>
        toEvent((at) =>
          ttlMs === undefined
            ? { type: "renewFailed", at, sentAt }
            : { type: "renewed", at, sentAt, ttlMs },
        ),
      );
      return;
    }
    case "revoke": {
      const revoke = () => {
        store.revoke(call.leaseId);
      };
      cluster.callStore(router, deadline, revoke, () => (at) => ({
        type: "timerTicked",
        at,
      }));
      return;
    }
    default:
      assertNever(call);
  }
};
