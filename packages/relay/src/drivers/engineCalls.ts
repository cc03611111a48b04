/** Calls to engines beside the requests: reports and copies of runs. */

import { now } from "@cardamomglade/common";
import { probeTimeoutMs } from "../decisions/constants.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { KvCacheCopy } from "../decisions/types.js";
import type { EngineReport, Replica, ReplicaProtocol } from "../types.js";
import { httpCall, type HttpCall, type HttpOutcome } from "./httpCall.js";

/** What became of a probe. */
export interface ProbeResult {
  readonly isAnswered: boolean;
  /** Undefined where the answer could not be read. */
  readonly report: EngineReport | undefined;
}

const copyTimeoutMs = 1500; // a copy of a whole prompt takes some ten milliseconds, behind others some hundred

/** The answer, or undefined where none came in time. */
const call = async (
  { host, port }: Replica,
  options: Omit<HttpCall, "host" | "port">,
): Promise<Extract<HttpOutcome, { type: "answered" }> | undefined> => {
  const outcome = await httpCall({ host, port, ...options });
  return outcome.type === "answered" ? outcome : undefined;
};

/** Asks an engine for its report on a new connection. */
export const probeEngine = async (
  { reportPath, readReport }: ReplicaProtocol,
  replica: Replica,
): Promise<ProbeResult> => {
  const answer = await call(replica, {
    method: "GET",
    path: reportPath,
    deadline: now() + probeTimeoutMs,
  });
  if (answer === undefined) return { isAnswered: false, report: undefined };
  return { isAnswered: true, report: readReport(answer.text) };
};

/** Asks an engine which parts of prompts it holds; undefined where it did not tell. */
export const listPromptBlocks = async (
  { partsPath, readParts }: ReplicaProtocol,
  replica: Replica,
): Promise<ReadonlyMap<string, number> | undefined> => {
  const answer = await call(replica, {
    method: "GET",
    path: partsPath,
    deadline: now() + probeTimeoutMs,
  });
  return answer?.status === 200 ? readParts(answer.text) : undefined;
};

/** Asks an engine to copy a run's memory to another one; gives the copy's name, or undefined. */
export const requestKvCacheCopy = async (
  { copyPath, encodeCopy, readCopy }: ReplicaProtocol,
  command: Extract<RelayCommand, { type: "copyKvCache" }>,
): Promise<string | undefined> => {
  const answer = await call(command.source, {
    method: "POST",
    path: copyPath,
    body: encodeCopy(command.requestId, command.holder),
    deadline: now() + copyTimeoutMs,
  });
  return answer?.status === 200 ? readCopy(answer.text) : undefined;
};

/** Asks an engine to free a copy; one that is not freed lapses by itself. */
export const releaseKvCacheCopy = async (
  { dropCopyPath }: ReplicaProtocol,
  { source, handle }: KvCacheCopy,
): Promise<void> => {
  await call(source, {
    method: "DELETE",
    path: dropCopyPath(handle),
    deadline: now() + probeTimeoutMs,
  });
};
