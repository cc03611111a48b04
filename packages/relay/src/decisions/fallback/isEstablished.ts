/** Whether an answer to a request goes on, so that its replica survived the request. */

import type { Exchange } from "../types.js";

/** Whether an open attempt, the silent one included, went on after its first events. */
export const isEstablished = ({ attempt, fallback }: Exchange): boolean =>
  attempt?.isEstablished === true || fallback?.attempt.isEstablished === true;
