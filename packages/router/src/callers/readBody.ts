/** Reads a request's body up to a size limit. */

import type { Readable } from "node:stream";
import { err, ok, type Result } from "@cardamomglade/common";
import { ErrorType, notRunError, type ApiError } from "../errors.js";

const firstBytes = 1024;

/** Returns a buffer of at least so many bytes with the content of a smaller one. */
const grow = (buffer: Buffer, neededBytes: number): Buffer => {
  if (neededBytes <= buffer.length) return buffer;
  const bytes = Math.max(neededBytes, firstBytes, 2 * buffer.length);
  const grown = Buffer.allocUnsafeSlow(bytes);
  buffer.copy(grown);
  return grown;
};

/**
 * The body as text, or a typed error if it exceeds the limit. Rejects if the caller leaves.
 * Load pattern: callers that send chunks of a byte, each of which arrives as a buffer that
 * takes hundreds; the stream would keep thousands of them for a slower reader.
 */
export const readBody = (
  req: Readable,
  maxBytes: number,
): Promise<Result<string, ApiError>> =>
  new Promise((resolve, reject) => {
    let body: Buffer = Buffer.alloc(0);
    let bytes = 0;
    const add = (chunk: Buffer) => {
      if (bytes + chunk.length > maxBytes) {
        req.off("data", add);
        req.resume(); // what still arrives is dropped, until the refusal closes the connection
        const message = `body exceeds ${String(maxBytes)} bytes`;
        resolve(err(notRunError(ErrorType.TooLarge, message)));
        return;
      }
      body = grow(body, bytes + chunk.length);
      chunk.copy(body, bytes);
      bytes += chunk.length;
    };
    req.on("data", add);
    req.once("end", () => {
      resolve(ok(body.toString("utf8", 0, bytes)));
    });
    req.once("error", reject);
    req.once("close", () => {
      reject(new Error("the caller left"));
    });
  });

/** Parsed JSON, or a typed error. */
export const parseBody = (text: string): Result<unknown, ApiError> => {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(notRunError(ErrorType.Malformed, "the body is not JSON"));
  }
};
