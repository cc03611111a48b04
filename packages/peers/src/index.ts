/** Peer mesh of the routers. */

export { decodeMessage, encodeMessage } from "./codec.js";
export { PeerMesh } from "./peerMesh.js";
export type * from "./types.js";
