/** Sizes of the memory budget and of single requests. */

const defaultMemoryMb = 250;
const bytesPerMb = 1_000_000;
const loadedProcessBytes = 100 * bytesPerMb; // of a process with idle connections and without requests
const minBudgetBytes = 8 * bytesPerMb;
const budgetRatio = 0.6; // the rest is for garbage that is not collected yet

const headCopies = 3; // as received, as forwarded, and as written to the replica
const requestBytes = 8 * 1024; // objects of a request without its texts

/** Bytes that requests and answers may take on a machine with this memory, if it is known. */
export const budgetBytesOf = (memoryMb = defaultMemoryMb): number =>
  Math.max(
    minBudgetBytes,
    (memoryMb * bytesPerMb - loadedProcessBytes) * budgetRatio,
  );

/** Bytes that a request takes beside its body. */
export const requestBytesOf = (headBytes: number): number =>
  headCopies * headBytes + requestBytes;
