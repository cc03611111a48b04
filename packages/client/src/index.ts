/** Client library: streamed completions that continue after the failure of an engine or router. */

export { generate } from "./generate.js";
export {
  CallerError,
  type AnswerChunk,
  type CallerFailure,
  type GenerateOptions,
} from "./types.js";
