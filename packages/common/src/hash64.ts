/** 64-bit hashing (xxHash); apart, as its WebAssembly module is loaded asynchronously. */

import xxhash from "xxhash-wasm";

const xxhashApi = await xxhash();

/** 64-bit hash of a text, in hex. */
export const hash64 = (text: string): string => xxhashApi.h64ToString(text);
