/** Asks an engine for its report on a new connection. */

import { request } from "node:http";
import { probeTimeoutMs } from "../decisions/constants.js";
import type { EngineReport, Replica, ReplicaProtocol } from "../types.js";

/** What became of a probe. */
export interface ProbeAnswer {
  readonly isAnswered: boolean;
  /** Undefined where the answer could not be read. */
  readonly report: EngineReport | undefined;
}

const unanswered: ProbeAnswer = { isAnswered: false, report: undefined };
const maxReportBytes = 4 * 1024 * 1024; // a report lists some dozen runs

/** Answers within the probe's time. */
export const probeEngine = (
  { reportPath, readReport }: ReplicaProtocol,
  { host, port }: Replica,
): Promise<ProbeAnswer> =>
  new Promise((resolve) => {
    const req = request({ host, port, path: reportPath, agent: false });
    const finish = (answer: ProbeAnswer) => {
      clearTimeout(timer);
      resolve(answer);
      req.destroy();
    };
    const timer = setTimeout(() => {
      finish(unanswered);
    }, probeTimeoutMs);
    req.on("error", () => {
      finish(unanswered);
    });
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxReportBytes) finish(unanswered);
        else chunks.push(chunk);
      });
      res.on("error", () => {
        finish(unanswered);
      });
      res.on("end", () => {
        const report = readReport(Buffer.concat(chunks).toString("utf8"));
        finish({ isAnswered: true, report });
      });
    });
    req.end();
  });
