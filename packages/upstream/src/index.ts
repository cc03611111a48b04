/** Clients of engines and plain services. */

export { CacheEventClient } from "./cacheEventClient.js";
export { EngineClient } from "./engineClient.js";
export { ServiceClient } from "./serviceClient.js";
export * from "./types.js";
