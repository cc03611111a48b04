/** Memory that heads take. A field takes objects of V8 beside its bytes: many short ones take far more than they have. */

import type { IncomingMessage } from "node:http";
import { parserFieldBytes } from "../../decisions/memory/headFields.js";
import { headBytesOf } from "../headBytes.js";

const usualFieldCount = 32; // their objects are counted with the request's
const fieldBytes = 50; // of each copy of a request's head
const parserCopies = 2; // as received, and as the parser's texts
const minFieldBytes = 4; // "a:" and the end of its line

/** Bytes of a head that has begun from which they count: about what an idle connection takes in any case. */
export const minBegunBytes = 2 * 1024;

/** Returns the bytes of one copy of a head that was read whole. */
export const headMemoryOf = (req: IncomingMessage): number => {
  const fieldCount = req.rawHeaders.length / 2;
  const unusualCount = Math.max(0, fieldCount - usualFieldCount);
  return headBytesOf(req) + unusualCount * fieldBytes;
};

/** Returns the bytes that the parser may take for the beginning of a head; how many fields it has, up to a limit, is not known. */
export const begunHeadMemoryOf = (bytes: number, maxFields: number): number => {
  const fieldCount = Math.min(maxFields, bytes / minFieldBytes);
  return parserCopies * bytes + fieldCount * parserFieldBytes;
};
