/** Sizes of the memory budget and of single requests. */

const defaultMemoryMb = 250;
const bytesPerMb = 1_000_000;
const loadedProcessBytes = 100 * bytesPerMb; // of a process with idle connections and without requests
const minBudgetBytes = 8 * bytesPerMb;
const budgetRatio = 0.6; // the rest is for garbage that is not collected yet
const heapRatio = 0.6; // the rest is for the process itself, and for garbage

const headCopies = 3; // as received, as forwarded, and as written to the replica
const requestBytes = 8 * 1024; // objects of a request without its texts

/**
 * Bytes that requests and answers may take on a machine with this memory, if it is known.
 * Heads are in V8's heap, whose limit ends the process as the machine's does.
 */
export const budgetBytesOf = (
  memoryMb = defaultMemoryMb,
  heapLimitBytes = Infinity,
): number => {
  const freeBytes = memoryMb * bytesPerMb - loadedProcessBytes;
  return Math.max(
    minBudgetBytes,
    Math.min(budgetRatio * freeBytes, heapRatio * heapLimitBytes),
  );
};

/** Bytes that a request takes beside its body. */
export const requestBytesOf = (headBytes: number): number =>
  headCopies * headBytes + requestBytes;
