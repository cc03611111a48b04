/** Reads a request's body up to a size limit. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "@cardamomglade/common";
import { ErrorType, notRunError, type ApiError } from "../errors.js";

/** The body as text, or a typed error if it exceeds the limit. */
export const readBody = async (
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, ApiError>> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes)
      return err(
        notRunError(
          ErrorType.TooLarge,
          `body exceeds ${String(maxBytes)} bytes`,
        ),
      );
    chunks.push(chunk as Buffer);
  }
  return ok(Buffer.concat(chunks).toString("utf8"));
};

/** Parsed JSON, or a typed error. */
export const parseBody = (text: string): Result<unknown, ApiError> => {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(notRunError(ErrorType.Malformed, "the body is not JSON"));
  }
};
