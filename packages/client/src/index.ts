/** Caller library: answers that survive the death of engines and routers. */

export { generate } from "./generate.js";
export {
  CallerError,
  type AnswerPart,
  type CallerFailure,
  type GenerateOptions,
} from "./types.js";
