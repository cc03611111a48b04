/** Recovery of token streams from engine failures. */

export {
  attachStream,
  createStream,
  type RunningAttempt,
  type StreamOptions,
} from "./createStream.js";
export { decideRecovery } from "./decideRecovery.js";
export {
  createEngineLatency,
  addLatencySample,
  type EngineLatency,
  type LatencyEstimate,
} from "./tokenLatency.js";
export {
  AttemptFailure,
  SecondaryReason,
  StreamFailure,
  type AttemptNumber,
  type AttemptState,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";
