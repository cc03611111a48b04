/** Calls to engines other than caller requests: load reports, prompt blocks and KV cache copies. */

import { now } from "@cardamomglade/common";
import { probeTimeoutMs } from "../decisions/constants.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { KvCacheCopy } from "../decisions/types.js";
import type { EngineReport, Replica, ReplicaProtocol } from "../types.js";
import { httpCall, type HttpCall, type HttpResult } from "./httpCall.js";

/** Result of a probe. */
export interface ProbeResult {
  readonly isAnswered: boolean;
  /** Whether the engine's host refused the connection. */
  readonly isRefused: boolean;
  /** Undefined if there was no answer or it could not be decoded. */
  readonly report: EngineReport | undefined;
}

const copyTimeoutMs = 1500; // copying a whole prompt takes some ten milliseconds, or some hundred when queued behind other copies

/** Returns the response, or undefined if none arrived in time. */
const call = async (
  { host, port }: Replica,
  options: Omit<HttpCall, "host" | "port">,
): Promise<Extract<HttpResult, { type: "answered" }> | undefined> => {
  const outcome = await httpCall({ host, port, ...options });
  return outcome.type === "answered" ? outcome : undefined;
};

/** Requests an engine's load report on a new connection. */
export const probeEngine = async (
  { reportPath, decodeReport }: ReplicaProtocol,
  replica: Replica,
): Promise<ProbeResult> => {
  const { host, port } = replica;
  const result = await httpCall({
    host,
    port,
    method: "GET",
    path: reportPath,
    deadline: now() + probeTimeoutMs,
  });
  if (result.type === "failed") {
    const { isRefused } = result;
    return { isAnswered: false, isRefused, report: undefined };
  }
  const report = decodeReport(result.text);
  return { isAnswered: true, isRefused: false, report };
};

/** Requests the prompt blocks that an engine holds; undefined if it did not answer. */
export const listPromptBlocks = async (
  { promptBlocksPath, decodePromptBlocks }: ReplicaProtocol,
  replica: Replica,
): Promise<ReadonlyMap<string, number> | undefined> => {
  const answer = await call(replica, {
    method: "GET",
    path: promptBlocksPath,
    deadline: now() + probeTimeoutMs,
  });
  return answer?.status === 200 ? decodePromptBlocks(answer.text) : undefined;
};

/**
 * Makes an engine copy a request's KV cache to another engine; returns the
 * copy's handle, or undefined on failure.
 */
export const requestKvCacheCopy = async (
  { kvCopyPath, encodeCopyRequest, decodeCopyHandle }: ReplicaProtocol,
  command: Extract<RelayCommand, { type: "copyKvCache" }>,
): Promise<string | undefined> => {
  const answer = await call(command.source, {
    method: "POST",
    path: kvCopyPath,
    body: encodeCopyRequest(command.requestId, command.holder),
    deadline: now() + copyTimeoutMs,
  });
  return answer?.status === 200 ? decodeCopyHandle(answer.text) : undefined;
};

/** Releases a KV cache copy; one that is not released expires by itself. */
export const releaseKvCacheCopy = async (
  { releaseCopyPath }: ReplicaProtocol,
  { source, handle }: KvCacheCopy,
): Promise<void> => {
  await call(source, {
    method: "DELETE",
    path: releaseCopyPath(handle),
    deadline: now() + probeTimeoutMs,
  });
};
