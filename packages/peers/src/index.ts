/** Mesh between routers. */

export {};
