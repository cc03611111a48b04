/** Active configuration of a router. */

export {
  applyConfig,
  applyListedLeavingHosts,
  createActiveConfig,
} from "./applyConfig.js";
export { formatConfigRecord, parseConfigRecord } from "./configRecord.js";
export { isConfigWatcher, type WatcherQuery } from "./isConfigWatcher.js";
export {
  resolveCommit,
  type CommitReads,
  type CommitResult,
} from "./resolveCommit.js";
export { servedDeployments } from "./servedDeployments.js";
export type { AcceptedConfig, ConfigChange, ActiveConfig } from "./types.js";
