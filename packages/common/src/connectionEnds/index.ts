/** How the other side ends connections. */

export { awaitConnectionEnd, ConnectionEnd } from "./awaitConnectionEnd.js";
export { holdUploadEnd } from "./holdUploadEnd.js";
export { unsentBytes } from "./unsentBytes.js";
