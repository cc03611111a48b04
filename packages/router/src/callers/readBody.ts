/** Reads a request's body up to a size limit. */

import type { Readable } from "node:stream";
import { err, ok, type Result } from "@cardamomglade/common";
import { noRoomRetryS } from "../connections/constants.js";
import { OpenBodies } from "../connections/openBodies.js";
import { ErrorType, notRunError, type ApiError } from "../errors.js";

const firstBytes = 1024;

/** Size of a buffer that is to hold so many bytes more than it does. */
const grownBytes = (
  { length }: Buffer,
  neededBytes: number,
  maxBytes: number,
): number =>
  neededBytes <= length
    ? length
    : Math.max(
        neededBytes,
        Math.min(maxBytes, Math.max(firstBytes, 2 * length)),
      );

/** Returns a buffer of a size with the content of a smaller one. */
const grow = (buffer: Buffer, bytes: number): Buffer => {
  if (bytes === buffer.length) return buffer;
  const grown = Buffer.allocUnsafeSlow(bytes);
  buffer.copy(grown);
  return grown;
};

const tooLargeError = (maxBytes: number): ApiError =>
  notRunError(ErrorType.TooLarge, `body exceeds ${String(maxBytes)} bytes`);

const noRoomError: ApiError = {
  ...notRunError(ErrorType.NoCapacity, "too many bodies are read at once"),
  retryAfterS: noRoomRetryS,
};

/**
 * The body as text, or a typed error if it exceeds the limit or gives way to other bodies.
 * Rejects if the caller leaves. Load pattern: callers that send chunks of a byte, each of
 * which arrives as a buffer that takes hundreds; the stream would keep thousands of them for
 * a slower reader.
 */
export const readBody = (
  req: Readable,
  maxBytes: number,
  bodies: OpenBodies = OpenBodies.create(Infinity),
): Promise<Result<string, ApiError>> =>
  new Promise((resolve, reject) => {
    let body: Buffer = Buffer.alloc(0);
    let bytes = 0;
    const refuse = (error: ApiError) => {
      req.off("data", add);
      req.resume(); // what still arrives is dropped, until the refusal closes the connection
      bodies.close(req);
      body = Buffer.alloc(0);
      resolve(err(error));
    };
    const add = (chunk: Buffer) => {
      const neededBytes = bytes + chunk.length;
      if (neededBytes > maxBytes) {
        refuse(tooLargeError(maxBytes));
        return;
      }
      const heldBytes = grownBytes(body, neededBytes, maxBytes);
      if (!bodies.tryHold(req, heldBytes)) {
        refuse(noRoomError);
        return;
      }
      bodies.move(req, chunk.length);
      body = grow(body, heldBytes);
      chunk.copy(body, bytes);
      bytes = neededBytes;
    };
    bodies.open(req, () => {
      refuse(noRoomError);
    });
    req.on("data", add);
    req.once("end", () => {
      bodies.close(req);
      resolve(ok(body.toString("utf8", 0, bytes)));
    });
    req.once("error", reject);
    req.once("close", () => {
      bodies.close(req);
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
