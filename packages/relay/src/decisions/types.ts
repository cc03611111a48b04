/** State of the relay's decision logic; its types stand by concern in `types/`. */

export * from "./types/replicaView.js";
export * from "./types/response.js";
export * from "./types/attempt.js";
export * from "./types/wait.js";
export * from "./types/exchange.js";
export * from "./types/store.js";
export * from "./types/limits.js";
export * from "./types/state.js";
