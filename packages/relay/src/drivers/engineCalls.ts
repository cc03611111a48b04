/** Calls to engines other than caller requests: load reports, prompt blocks and KV cache copies. */

import { now } from "@cardamomglade/common";
import { probeTimeoutMs } from "../decisions/constants.js";
import { originListTimeoutMs } from "../decisions/versions/constants.js";
import type { RetryAfter } from "../decisions/backOff/types.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { ProcessAnswer } from "../decisions/adoptedReplicas/types.js";
import type { KvCacheCopy } from "../decisions/types.js";
import type { StopOutcome } from "../decisions/earlierRuns/types.js";
import {
  serviceUnavailableStatus,
  type EngineReport,
  type Replica,
  type ReplicaProtocol,
} from "../types.js";
import { httpCall, type HttpCall, type HttpResult } from "./httpCall.js";
import { CallPeer } from "./memory/controlBudgets.js";
import { isName } from "./peerValues.js";
import { retryAfterOf } from "./retryAfter.js";

/** What a replica's answer says about itself. */
export type ReplicaNotice =
  | { readonly type: "leavingAnnounced" }
  | { readonly type: "backOffRequested"; readonly retryAfter: RetryAfter };

/** Called with what a replica's answer says. */
export type OnNotice = (replica: Replica, notice: ReplicaNotice) => void;

/** Result of a probe. */
export interface ProbeResult {
  readonly isAnswered: boolean;
  /** Whether the engine's host refused the connection. */
  readonly isRefused: boolean;
  /** Whether the engine's host took the connection. */
  readonly isConnected: boolean;
  /** Undefined if there was no answer or it could not be decoded. */
  readonly report: EngineReport | undefined;
}

const okStatus = 200;

const copyTimeoutMs = 1500; // copying a whole prompt takes some ten milliseconds, or some hundred when queued behind other copies

const callReplica = async (
  protocol: ReplicaProtocol,
  replica: Replica,
  options: Omit<HttpCall, "peer" | "host" | "port">,
  onNotice: OnNotice,
): Promise<HttpResult> => {
  const { host, port } = replica;
  const peer = CallPeer.Engine;
  const outcome = await httpCall({ peer, host, port, ...options });
  if (outcome.type === "failed") return outcome;
  const { status, headers } = outcome;
  if (headers[protocol.headers.leaving] !== undefined)
    onNotice(replica, { type: "leavingAnnounced" });
  const retryAfter = retryAfterOf(protocol, status, headers, now());
  if (retryAfter !== undefined)
    onNotice(replica, { type: "backOffRequested", retryAfter });
  return outcome;
};

/** Returns the response, or undefined if none arrived in time. */
const call = async (
  ...args: Parameters<typeof callReplica>
): Promise<Extract<HttpResult, { type: "answered" }> | undefined> => {
  const outcome = await callReplica(...args);
  return outcome.type === "answered" ? outcome : undefined;
};

/** Requests an engine's load report on a new connection. */
export const probeEngine = async (
  protocol: ReplicaProtocol,
  replica: Replica,
  onNotice: OnNotice,
): Promise<ProbeResult> => {
  const { reportPath: path, decodeReport } = protocol;
  const deadline = now() + probeTimeoutMs;
  const options = { method: "GET" as const, path, deadline };
  const result = await callReplica(protocol, replica, options, onNotice);
  if (result.type === "failed") {
    const { isRefused, isConnected } = result;
    return { isAnswered: false, isRefused, isConnected, report: undefined };
  }
  const report = decodeReport(result.text);
  return { isAnswered: true, isRefused: false, isConnected: true, report };
};

/** Asks the process at a replica's address what it is; another one than the known replica may answer. */
export const probeAddress = async (
  protocol: ReplicaProtocol,
  {
    replica: { host, port },
    healthCheckPath,
  }: Extract<RelayCommand, { type: "probeAddress" }>,
): Promise<ProcessAnswer> => {
  const { headers: names, reportPath, decodeReport } = protocol;
  const deadline = now() + probeTimeoutMs;
  const get = async (path: string) => {
    const peer = CallPeer.Engine;
    const method = "GET" as const;
    const result = await httpCall({ peer, host, port, method, path, deadline });
    const isOk = result.type === "answered" && result.status === okStatus;
    return isOk ? result : undefined;
  };
  const [report, health] = await Promise.all([
    get(reportPath),
    healthCheckPath === undefined ? undefined : get(healthCheckPath),
  ]);
  const id = health?.headers[names.replicaId];
  const decoded = report && decodeReport(report.text);
  return {
    report: decoded,
    id: typeof id === "string" && isName(id) ? id : undefined,
    isLeaving:
      decoded?.isLeaving === true ||
      [report, health].some((one) => one?.headers[names.leaving] !== undefined),
  };
};

/** Requests a list of an engine's prompt blocks; undefined if it did not answer. */
const getList = async (
  protocol: ReplicaProtocol,
  replica: Replica,
  path: string,
  onNotice: OnNotice,
): Promise<string | undefined> => {
  const deadline = now() + originListTimeoutMs;
  const options = { method: "GET" as const, path, deadline };
  const answer = await call(protocol, replica, options, onNotice);
  return answer?.status === 200 ? answer.text : undefined;
};

/**
 * Requests the prompt blocks that an engine holds, on request with those that it
 * evicted, of 0 tokens; undefined if it did not answer.
 */
export const listPromptBlocks = async (
  protocol: ReplicaProtocol,
  { replica, withHistory }: Extract<RelayCommand, { type: "listPromptBlocks" }>,
  onNotice: OnNotice,
): Promise<ReadonlyMap<string, number> | undefined> => {
  const { promptBlocksPath, promptHistoryPath } = protocol;
  const [heldText, historyText] = await Promise.all([
    getList(protocol, replica, promptBlocksPath, onNotice),
    withHistory
      ? getList(protocol, replica, promptHistoryPath, onNotice)
      : undefined,
  ]);
  if (heldText === undefined) return undefined;
  const held = protocol.decodePromptBlocks(heldText);
  const evicted = protocol
    .decodePromptHistory(historyText ?? "")
    .map((id): [string, number] => [id, 0]);
  return held && new Map([...evicted, ...held]);
};

/**
 * Makes an engine copy a request's KV cache to another engine; returns the
 * copy's handle, or undefined on failure.
 */
export const requestKvCacheCopy = async (
  protocol: ReplicaProtocol,
  command: Extract<RelayCommand, { type: "copyKvCache" }>,
  onNotice: OnNotice,
): Promise<string | undefined> => {
  const { kvCopyPath, encodeCopyRequest, decodeCopyHandle } = protocol;
  const options = {
    method: "POST" as const,
    path: kvCopyPath,
    body: encodeCopyRequest(command.requestId, command.holder),
    deadline: now() + copyTimeoutMs,
  };
  const answer = await call(protocol, command.source, options, onNotice);
  return answer?.status === 200 ? decodeCopyHandle(answer.text) : undefined;
};

const notFoundStatus = 404;

const stopOutcomeOf = (
  { decodeCopyHandle }: ReplicaProtocol,
  result: HttpResult,
): StopOutcome => {
  if (result.type === "failed") {
    const { isRefused, isConnected } = result;
    return isRefused
      ? { type: "refused" }
      : { type: "unanswered", isConnected };
  }
  const { status, text } = result;
  if (status === notFoundStatus) return { type: "notFound" };
  const isCopied = status === okStatus;
  const handle =
    isCopied || status === serviceUnavailableStatus
      ? decodeCopyHandle(text)
      : undefined;
  // A refusal that names the KV cache of the run is one of the copy: the run has stopped.
  return isCopied || handle !== undefined
    ? { type: "stopped", handle, isCopied }
    : { type: "notStopped", status };
};

/** Makes an engine stop a run, and copy its KV cache to another engine; uses a connection of its own. */
export const requestRunStop = async (
  protocol: ReplicaProtocol,
  { replica, holder, requestId }: Extract<RelayCommand, { type: "stopRun" }>,
  onNotice: OnNotice,
): Promise<StopOutcome> => {
  const at = now();
  const options = {
    method: "POST" as const,
    path: protocol.kvCopyPath,
    body: protocol.encodeStopRequest(requestId, holder),
    deadline: at + copyTimeoutMs,
    connectDeadline: at + probeTimeoutMs,
  };
  const result = await callReplica(protocol, replica, options, onNotice);
  return stopOutcomeOf(protocol, result);
};

/** Releases a KV cache copy; one that is not released expires by itself. */
export const releaseKvCacheCopy = async (
  protocol: ReplicaProtocol,
  { source, handle }: KvCacheCopy,
  onNotice: OnNotice,
): Promise<void> => {
  const options = {
    method: "DELETE" as const,
    path: protocol.releaseCopyPath(handle),
    deadline: now() + probeTimeoutMs,
  };
  await call(protocol, source, options, onNotice);
};
