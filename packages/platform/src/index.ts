/** Clients of the platform's key-value, host list and weight services. */

export {
  KeyValueClient,
  type KeyValueClientOptions,
} from "./keyValueClient.js";
export {
  mirrorPrefix,
  type MirrorOptions,
  type Restoration,
} from "./mirrorPrefix.js";
export {
  readHostList,
  readStoredWeights,
  readWeightRate,
} from "./readPlatform.js";
export { onlyEra } from "./storePosition.js";
export * from "./types.js";
