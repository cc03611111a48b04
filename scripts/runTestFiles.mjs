// Runs test files, each in a process of its own.
import { run } from "node:test";

// Far above the longest file; a file that hangs fails by its name and does not hold up the others.
const fileTimeLimitMs = 300_000;

/** Starts the files; returns the stream of their results. A file that runs longer than the limit is ended and fails. */
export const runTestFiles = (
  files,
  timeLimitMs = fileTimeLimitMs,
  concurrency = true,
) => run({ files, concurrency, timeout: timeLimitMs });
