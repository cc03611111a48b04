/** HTTP clients of inference engines and of plain HTTP services. */

export { CacheEventClient } from "./cacheEventClient.js";
export { EngineClient } from "./engineClient.js";
export { ServiceClient } from "./serviceClient.js";
export * from "./types.js";
