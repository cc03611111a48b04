/** Test stand-ins for the platform services and the back ends. */

export { startEngine } from "./engine/startEngine.js";
export { extendDigest, seedDigest, tokenById } from "./engine/makeToken.js";
export type {
  EngineLedgerEntry,
  EngineOptions,
  TokenMode,
} from "./engine/types.js";
export type { CloseStage, Fault } from "./faults.js";
export {
  expectedTokens,
  textOfTokens,
  type ExpectedAnswerOptions,
} from "./engine/expectedAnswer.js";
export { startHostList } from "./startHostList.js";
export type { StandInServer } from "./httpServer.js";
export { startKeyValue } from "./keyValue/startKeyValue.js";
export { startService, type ServiceLedgerEntry } from "./startService.js";
export { startWeightStore } from "./startWeightStore.js";
