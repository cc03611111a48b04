/** Replica protocol for tests. */

import type { EngineReport, ReplicaProtocol } from "../types.js";
import { idleReport } from "./scenario.js";

/** Reads a report whose fields are named as in the product; undefined for any other text. */
const decodeReport = (text: string): EngineReport | undefined => {
  if (!text.startsWith("{")) return undefined;
  const report = JSON.parse(text) as Partial<EngineReport>;
  return report.runs === undefined
    ? undefined
    : { ...idleReport, ...report, runs: report.runs };
};

/** A protocol whose header names and paths differ from the platform's. */
export const testProtocol: ReplicaProtocol = {
  headers: {
    requestId: "x-request",
    timeBudgetMs: "x-budget",
    expectedReplica: "x-replica",
    customer: "x-customer",
    priority: "x-urgency",
    seal: "x-seal",
    notExecuted: "x-not-run",
    requestLimit: "x-limit",
    retryAfter: "retry-after",
    replicaId: "x-replica-id",
    leaving: "x-leaving",
    copyTo: "x-copy-to",
    continueFrom: "x-continue",
    lastEventId: "last-event-id",
    resumes: "x-resumes",
    promptBlocks: "x-parts",
    tokenCounts: "x-tokens",
    reserved: [
      "x-urgency",
      "x-replica",
      "x-customer",
      "x-copy-to",
      "x-continue",
    ],
  },
  reportPath: "/report",
  formatCopyName: ({ host, port }, handle) =>
    `${host}:${String(port)}/${handle}`,
  kvCopyPath: "/copy",
  releaseCopyPath: (handle) => `/copy/${handle}`,
  encodeCopyRequest: (requestId) => requestId,
  encodeStopRequest: (requestId) => `${requestId} last`,
  decodeCopyHandle: (text) => text,
  promptBlocksPath: "/parts",
  promptHistoryPath: "/history",
  decodePromptHistory: () => [],
  decodePromptBlocks: () => new Map(),
  decodePromptBlockIds: (header) => header.split(",").filter((id) => id !== ""),
  decodePromptTokens: () => undefined,
  decodeMaxOutputTokens: (header) =>
    header === "" ? undefined : Number(header),
  decodeReport,
};
