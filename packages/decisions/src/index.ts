/** Pure decision functions; each folder is usable on its own. */

export * from "./admission/index.js";
export * from "./config/index.js";
export * from "./drain/index.js";
export * from "./intent/index.js";
export * from "./lease/index.js";
export * from "./placement/index.js";
export * from "./ledger/index.js";
export * from "./limits/index.js";
export * from "./membership/index.js";
export * from "./recovery/index.js";
export * from "./routing/index.js";
