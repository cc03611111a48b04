/** Logging and metrics. */

export { createLog, Severity, type Log, type LogValue } from "./log.js";
export { Metrics } from "./metrics.js";
