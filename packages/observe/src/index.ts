/** Logging and metrics. */

export { flushLog } from "./flushLog.js";
export { createLimitedLog } from "./limitedLog.js";
export {
  createLog,
  Severity,
  type Log,
  type LogValue,
  type PlainLog,
} from "./log.js";
export { Metrics } from "./metrics.js";
export { createPortLog } from "./portLog.js";
