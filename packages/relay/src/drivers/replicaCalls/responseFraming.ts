/** How the end of a response is found. */

import type { IncomingMessage } from "node:http";
import { isBodiless } from "../../decisions/answerEnds/isBodiless.js";
import { BodyFraming } from "../../decisions/types.js";

/** Transfer codings of a response, in the order in which they were applied. */
const transferCodingsOf = ({ headers }: IncomingMessage): readonly string[] =>
  (headers["transfer-encoding"] ?? "")
    .split(",")
    .map((coding) => coding.trim().toLowerCase())
    .filter((coding) => coding !== "");

/** What marks the end of a response. */
export const framingOf = (res: IncomingMessage): BodyFraming => {
  const codings = transferCodingsOf(res);
  if (codings.at(-1) === "chunked") return BodyFraming.Chunked;
  return codings.length > 0 || res.headers["content-length"] === undefined
    ? BodyFraming.Connection
    : BodyFraming.Length;
};

/** Whether nothing but the end of the connection marks the end of a response. */
export const endsWithConnection = (
  method: string,
  res: IncomingMessage,
): boolean =>
  framingOf(res) === BodyFraming.Connection &&
  !isBodiless(method, res.statusCode ?? 0);
