/** What a request takes from an engine. */

import type { CallerRequest } from "../../types.js";
import { assumedPromptTokens } from "./constants.js";
import type { RequestSize } from "./types.js";

/** Size by the request's own counts; one without counts is assumed to have a long prompt. */
export const sizeOf = (request: CallerRequest | undefined): RequestSize => {
  const promptTokens = request?.promptTokens ?? assumedPromptTokens;
  const totalTokens = promptTokens + (request?.maxOutputTokens ?? 0);
  return { promptTokens, totalTokens };
};
