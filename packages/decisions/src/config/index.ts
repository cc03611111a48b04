/** Active configuration of a router. */

export {
  applyConfig,
  applyListedLeaving,
  createConfig,
} from "./applyConfig.js";
export { formatConfigRecord, parseConfigRecord } from "./configRecord.js";
export { isConfigWatcher, type WatcherQuery } from "./isConfigWatcher.js";
export {
  judgeCommit,
  type CommitReads,
  type CommitVerdict,
} from "./resolveCommit.js";
export { servedDeployments } from "./servedDeployments.js";
export type { AcceptedConfig, ConfigChange, ConfigInForce } from "./types.js";
