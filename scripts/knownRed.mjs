// Tests that are known to fail: read from KNOWN-RED.txt, one entry a line of `field: value` parts between bars.
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

/** Entries of the file; a malformed line is an error. */
export const parseKnownRed = (text) =>
  text
    .split("\n")
    .map((line, index) => ({ line: line.trim(), number: index + 1 }))
    .filter(({ line }) => line !== "" && !line.startsWith("#"))
    .map(({ line, number }) => parseLine(line, number));

/** Sorts results by what the entries say; an entry's test is `file > name`. */
export const judgeResults = (entries, results) => {
  const named = new Set(entries.map(({ test }) => test));
  const failed = results.filter(({ passed }) => !passed);
  return {
    unexpected: failed.filter(({ test }) => !named.has(test)),
    passedOver: entries.filter(({ test }) =>
      failed.some((result) => result.test === test),
    ),
    healed: entries.filter(
      ({ test }) =>
        results.some((result) => result.test === test) &&
        !failed.some((result) => result.test === test),
    ),
  };
};
