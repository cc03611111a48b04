/** Schemas of settings, intents, messages and events: generated types, validators and document checks. */

export * from "./generated/administration.js";
export * from "./generated/callers.js";
export * from "./generated/engines.js";
export type {
  Adapter,
  BackEnd,
  CallPattern,
  CostFirst,
  Customer,
  CustomerLimits,
  Deployment,
  Intent,
  LatencyFirst,
  LeavingHost,
  Model,
  ModelVersion,
  RecoveryPolicy,
  Service,
} from "./generated/intent.js";
export { BackEndType, CallMethod, Priority } from "./generated/intent.js";
export type {
  LeaseAnswer,
  RangeAnswer,
  RangeResponse,
  TransactionAnswer,
  WatchMessage,
  WireEntry,
} from "./generated/keyValue.js";
export type {
  AnsweredCall,
  CallRecord,
  ClaimedCall,
  RecordedAnswer,
  ReleasedCall,
  ShardBatch,
} from "./generated/ledger.js";
export * from "./generated/peers.js";
export type {
  ClientTlsSettings,
  ListenAddress,
  Operator,
  PeerSettings,
  RouterIdentity,
  Settings,
  TlsSettings,
} from "./generated/settings.js";
export {
  LogLevel,
  OperatorRight,
  WhileStoreDown,
  RoutingStrategyName,
} from "./generated/settings.js";
export type { TimelineEvent } from "./generated/timeline.js";
export { TimelineTopic } from "./generated/timeline.js";
export * from "../generated/validators.js";
export { checkDocument, positionOf } from "./checkDocument.js";
export { formatFinding, type Finding } from "./findings.js";
export { locateFindings } from "./locateFindings.js";
export { nearestName } from "./nearestName.js";
