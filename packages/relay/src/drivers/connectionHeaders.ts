/** Hop-by-hop headers, which concern one connection only (RFC 9110, 7.6.1). */

const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

const namedBy = (rawHeaders: readonly string[]): ReadonlySet<string> => {
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[index + 1] ?? "").split(","))
      named.add(name.trim().toLowerCase());
  }
  return named;
};

/** Filters alternating names and values: removes hop-by-hop headers and those in `dropped`. */
export const forwardableHeaders = (
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] => {
  const named = namedBy(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    const lower = name.toLowerCase();
    if (connectionHeaders.has(lower) || named.has(lower)) continue;
    if (dropped.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1] ?? "");
  }
  return kept;
};
