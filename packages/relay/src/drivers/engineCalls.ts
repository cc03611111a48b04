/** Calls to engines beside the requests: reports and copies of runs. */

import { request } from "node:http";
import { probeTimeoutMs } from "../decisions/constants.js";
import type { RelayCommand, RunCopy } from "../decisions/types.js";
import type { EngineReport, Replica, ReplicaProtocol } from "../types.js";

/** What became of a probe. */
export interface ProbeAnswer {
  readonly isAnswered: boolean;
  /** Undefined where the answer could not be read. */
  readonly report: EngineReport | undefined;
}

const maxAnswerBytes = 4 * 1024 * 1024; // a report lists some dozen runs
const copyTimeoutMs = 1500; // a copy of a whole prompt takes some ten milliseconds, behind others some hundred

interface EngineCall {
  readonly replica: Replica;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body: string;
  readonly timeoutMs: number;
}

interface EngineAnswer {
  readonly status: number;
  readonly text: string;
}

/** The answer, or undefined where none came in time. */
const call = (options: EngineCall): Promise<EngineAnswer | undefined> =>
  new Promise((resolve) => {
    const { replica, method, path, body, timeoutMs } = options;
    const headers = { "content-type": "application/json" };
    const req = request({
      host: replica.host,
      port: replica.port,
      method,
      path,
      agent: false,
      ...(body !== "" && { headers }),
    });
    const finish = (answer: EngineAnswer | undefined) => {
      clearTimeout(timer);
      resolve(answer);
      req.destroy();
    };
    const fail = () => {
      finish(undefined);
    };
    const timer = setTimeout(fail, timeoutMs);
    req.on("error", fail);
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxAnswerBytes) fail();
        else chunks.push(chunk);
      });
      res.on("error", fail);
      res.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        finish({ status: res.statusCode ?? 0, text });
      });
    });
    req.end(body);
  });

/** Asks an engine for its report on a new connection. */
export const probeEngine = async (
  { reportPath, readReport }: ReplicaProtocol,
  replica: Replica,
): Promise<ProbeAnswer> => {
  const answer = await call({
    replica,
    method: "GET",
    path: reportPath,
    body: "",
    timeoutMs: probeTimeoutMs,
  });
  if (answer === undefined) return { isAnswered: false, report: undefined };
  return { isAnswered: true, report: readReport(answer.text) };
};

/** Asks an engine which parts of prompts it holds; undefined where it did not tell. */
export const listParts = async (
  { partsPath, readParts }: ReplicaProtocol,
  replica: Replica,
): Promise<ReadonlyMap<string, number> | undefined> => {
  const answer = await call({
    replica,
    method: "GET",
    path: partsPath,
    body: "",
    timeoutMs: probeTimeoutMs,
  });
  return answer?.status === 200 ? readParts(answer.text) : undefined;
};

/** Asks an engine to copy a run's memory to another one; gives the copy's name, or undefined. */
export const askForCopy = async (
  { copyPath, encodeCopy, readCopy }: ReplicaProtocol,
  command: Extract<RelayCommand, { type: "copyRun" }>,
): Promise<string | undefined> => {
  const answer = await call({
    replica: command.source,
    method: "POST",
    path: copyPath,
    body: encodeCopy(command.requestId, command.holder),
    timeoutMs: copyTimeoutMs,
  });
  return answer?.status === 200 ? readCopy(answer.text) : undefined;
};

/** Asks an engine to free a copy; one that is not freed lapses by itself. */
export const askToDropCopy = async (
  { dropCopyPath }: ReplicaProtocol,
  { source, handle }: RunCopy,
): Promise<void> => {
  await call({
    replica: source,
    method: "DELETE",
    path: dropCopyPath(handle),
    body: "",
    timeoutMs: probeTimeoutMs,
  });
};
