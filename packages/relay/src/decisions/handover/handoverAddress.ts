/** Where a router takes requests of other routers over. */

import type { Address } from "../../types.js";

/** The port after the one for messages; any free port stays any. */
export const handoverAddressOf = ({ host, port }: Address): Address => ({
  host,
  port: port === 0 ? 0 : port + 1,
});
