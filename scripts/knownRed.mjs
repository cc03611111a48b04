// Tests that are known to fail, from KNOWN-RED.txt: one entry per line, `field: value` pairs separated by ` | `.
const fields = ["test", "command", "seen", "issue"];

const parseLine = (line, number) => {
  const parts = line.split(" | ").map((part) => {
    const colon = part.indexOf(":");
    return [part.slice(0, colon).trim(), part.slice(colon + 1).trim()];
  });
  const entry = Object.fromEntries(parts);
  const missing = fields.filter((field) => !entry[field]);
  if (missing.length > 0 || parts.length !== fields.length)
    throw new Error(
      `KNOWN-RED.txt:${number}: expected "test: … | command: … | seen: … | issue: …"`,
    );
  return entry;
};

/** Parses the entries of the file; throws on a malformed line. */
export const parseKnownRed = (text) =>
  text
    .split("\n")
    .map((line, index) => ({ line: line.trim(), number: index + 1 }))
    .filter(({ line }) => line !== "" && !line.startsWith("#"))
    .map(({ line, number }) => parseLine(line, number));

/** Separates unexpected failures, known failures and listed tests that pass now; an entry names its test as `file > name`. */
export const classifyResults = (entries, results) => {
  const listed = new Set(entries.map(({ test }) => test));
  const failed = results.filter(({ passed }) => !passed);
  return {
    unexpected: failed.filter(({ test }) => !listed.has(test)),
    knownFailures: entries.filter(({ test }) =>
      failed.some((result) => result.test === test),
    ),
    nowPassing: entries.filter(
      ({ test }) =>
        results.some((result) => result.test === test) &&
        !failed.some((result) => result.test === test),
    ),
  };
};
