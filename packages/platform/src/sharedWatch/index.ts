/** Watches of the store that routers share. */

export { KnownRouters } from "./knownRouters.js";
export { SharedWatch, type SharedWatchOptions } from "./sharedWatch.js";
export type {
  SharedOutcomes,
  SharedWatchLimits,
  SharingRouter,
  WatchSource,
} from "./types.js";
