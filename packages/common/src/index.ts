/** Pieces shared by every package. */

export { abortAt } from "./abortAt.js";
export { assertNever } from "./assertNever.js";
export { nextTryAt, type BackoffBounds } from "./backoff.js";
export { canonicalText } from "./canonicalText.js";
export { createChannel, type Channel } from "./channel.js";
export { createSink } from "./createSink.js";
export { createSource } from "./createSource.js";
export { createTicks } from "./createTicks.js";
export { foldEvents } from "./foldEvents.js";
export {
  draw,
  seedGenerator,
  type Draw,
  type GeneratorState,
} from "./generator.js";
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
export { prefixBlocks } from "./prefixBlocks.js";
export { err, ok } from "./result.js";
export {
  runProcess,
  type Decide,
  type Driver,
  type ProcessFailure,
  type ProcessSpec,
  type RunningProcess,
} from "./runProcess.js";
export { Ran, type Moment, type Result, type Step } from "./types.js";
