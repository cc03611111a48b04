/** Authenticates a caller by its API key. */

import { createHash, timingSafeEqual } from "node:crypto";
import type { Customer } from "@cardamomglade/schema";
import type { ActiveConfig } from "@cardamomglade/decisions";

const scheme = "Bearer ";

/** SHA-256 of a secret, hex encoded. */
export const hashSecret = (secret: string): string =>
  createHash("sha256").update(secret).digest("hex");

/** Whether two hex-encoded hashes are equal; compared in constant time. */
export const isSameHash = (a: string, b: string): boolean =>
  a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));

/** The bearer token of an Authorization header. */
export const bearerTokenOf = (
  header: string | undefined,
): string | undefined =>
  header?.startsWith(scheme) === true ? header.slice(scheme.length) : undefined;

/** The customer that owns the key in the Authorization header. */
export const authenticate = (
  config: ActiveConfig,
  header: string | undefined,
): Customer | undefined => {
  const key = bearerTokenOf(header);
  if (key === undefined) return undefined;
  const hash = hashSecret(key);
  const customer = config.customersByKeyHash.get(hash);
  const isKnown =
    customer?.keyHashes.some((known) => isSameHash(known, hash)) ?? false;
  return isKnown ? customer : undefined;
};
