/** The configuration in force. */

export { applyConfig, createConfig } from "./applyConfig.js";
export type { AcceptedConfig, ConfigInForce } from "./types.js";
