/** Utilities shared by all packages. */

export { abortSignalAt } from "./abortSignalAt.js";
export { assertNever } from "./assertNever.js";
export { nextRetryAt, type BackoffBounds } from "./backoff.js";
export { BurstCount } from "./burstCount.js";
export { canonicalJson } from "./canonicalJson.js";
export {
  chooseClosing,
  closingCountOf,
  type WaitingConnection,
} from "./chooseClosing.js";
export {
  awaitConnectionEnd,
  ConnectionEnd,
  holdUploadEnd,
  unsentBytes,
} from "./connectionEnds/index.js";
export { createChannel, type Channel } from "./channel.js";
export { createSinkDriver } from "./createSinkDriver.js";
export { createSourceDriver } from "./createSourceDriver.js";
export { createTimerDriver } from "./createTimerDriver.js";
export { replayEvents } from "./replayEvents.js";
export {
  nextRandom,
  seedRandom,
  type RandomDraw,
  type RandomState,
} from "./random.js";
export { hash32, rendezvousOrder } from "./hash.js";
export {
  createHybridClock,
  formatHybridClock,
  receiveHybridClock,
  tickHybridClock,
  type HybridClock,
} from "./hybridClock.js";
export { isRecord } from "./isRecord.js";
export {
  listenUntilOpen,
  openServerPort,
  type OpeningPort,
  type PortEvent,
} from "./listenUntilOpen.js";
export { now } from "./now.js";
export { ConnectionOutcome, probeConnection } from "./probeConnection.js";
export { residentBytes } from "./residentBytes.js";
export { err, ok } from "./result.js";
export {
  runEventLoop,
  type Reducer,
  type Driver,
  type EventLoopFailure,
  type EventLoopOptions,
  type EventLoop,
} from "./runEventLoop.js";
export {
  RequestExecuted,
  type Timestamp,
  type Result,
  type Transition,
} from "./types.js";
