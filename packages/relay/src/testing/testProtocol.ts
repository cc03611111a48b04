/** Replica protocol for tests. */

import type { ReplicaProtocol } from "../types.js";

/** A protocol whose header names and paths differ from the platform's. */
export const testProtocol: ReplicaProtocol = {
  headers: {
    requestId: "x-request",
    budgetMs: "x-budget",
    expectedReplica: "x-replica",
    customer: "x-customer",
    urgency: "x-urgency",
    seal: "x-seal",
    notRun: "x-not-run",
    copyTo: "x-copy-to",
    continueFrom: "x-continue",
    lastEventId: "last-event-id",
    promptParts: "x-parts",
    reserved: [
      "x-urgency",
      "x-replica",
      "x-customer",
      "x-copy-to",
      "x-continue",
    ],
  },
  reportPath: "/report",
  copyName: ({ host, port }, handle) => `${host}:${String(port)}/${handle}`,
  copyPath: "/copy",
  dropCopyPath: (handle) => `/copy/${handle}`,
  encodeCopy: (requestId) => requestId,
  readCopy: (text) => text,
  partsPath: "/parts",
  readParts: () => new Map(),
  readLastPart: () => undefined,
  readReport: () => undefined,
};
