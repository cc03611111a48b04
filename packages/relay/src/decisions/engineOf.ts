/** Finds out whether a service's replicas are inference engines. */

import type { EngineCapabilities } from "../types.js";
import type { RelayState } from "./types.js";

/** Capabilities of a service's engines; undefined if its replicas are no engines. */
export const engineOf = (
  state: RelayState,
  service: string,
): EngineCapabilities | undefined =>
  state.routes?.services.get(service)?.engine;
