/** Public exports of the router package. */

export { checkIntent } from "@cardamomglade/decisions";
export { createRouter, type Router } from "./createRouter.js";
export {
  createRouterState,
  decide,
  type RouterStateOptions,
} from "./decide.js";
export { heldLease, releaseLease, requestLease } from "./actions/leaseRoles.js";
export { configKey, ConfigStore } from "./configuration/configStore.js";
export { ErrorType, statusOf, type ApiError } from "./errors.js";
export type * from "./types.js";
