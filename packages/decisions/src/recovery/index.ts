/** Recovery of streams from the death of engines. */

export {
  attachStream,
  createStream,
  type RunningAttempt,
  type StreamOptions,
} from "./createStream.js";
export { decideRecovery } from "./decideRecovery.js";
export {
  createEnginePace,
  observeGap,
  type EnginePace,
  type TokenPace,
} from "./tokenPace.js";
export {
  AttemptFailure,
  ChallengeReason,
  StreamFailure,
  type AttemptNumber,
  type AttemptState,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";
