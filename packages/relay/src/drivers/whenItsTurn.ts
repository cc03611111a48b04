/** Tells when a response is no longer behind earlier ones on its connection. */

import type { ServerResponse } from "node:http";

/** Calls back once the response may be written: at once, or when the earlier ones have been. */
export const whenItsTurn = (res: ServerResponse, onTurn: () => void): void => {
  if (res.socket !== null) onTurn();
  else res.once("socket", onTurn);
};
