/** Answers whose end nothing marks but the end of their connection. */

import { BodyFraming, type Exchange, type ResponseHead } from "../types.js";
import { isBodiless } from "./isBodiless.js";

/** Whether nothing but the end of the connection marks the end of an answer. */
export const endsWithConnection = (
  { request }: Exchange,
  { framing, status }: ResponseHead,
): boolean =>
  framing === BodyFraming.Connection && !isBodiless(request.method, status);
