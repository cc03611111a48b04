/** Mesh between routers. */

export type * from "./types.js";
