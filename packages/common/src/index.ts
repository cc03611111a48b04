/** Utilities shared by all packages. */

export { abortAt } from "./abortSignalAt.js";
export { assertNever } from "./assertNever.js";
export { nextTryAt, type BackoffBounds } from "./backoff.js";
export { canonicalText } from "./canonicalJson.js";
export { createChannel, type Channel } from "./channel.js";
export { createSink } from "./createSinkDriver.js";
export { createSource } from "./createSourceDriver.js";
export { createTicks } from "./createTimerDriver.js";
export { foldEvents } from "./replayEvents.js";
export {
  draw,
  seedGenerator,
  type RandomDraw,
  type GeneratorState,
} from "./random.js";
export { hash32, hash64, rendezvousOrder } from "./hash.js";
export {
  createHybridClock,
  formatHybridClock,
  receiveHybridClock,
  tickHybridClock,
  type HybridClock,
} from "./hybridClock.js";
export { isRecord } from "./isRecord.js";
export { now } from "./now.js";
export { prefixBlocks } from "./prefixBlockHashes.js";
export { err, ok } from "./result.js";
export {
  runProcess,
  type Reducer,
  type Driver,
  type ProcessFailure,
  type EventLoopOptions,
  type RunningProcess,
} from "./runEventLoop.js";
export { Ran, type Moment, type Result, type Step } from "./types.js";
