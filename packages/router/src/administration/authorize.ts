/** Authentication and authorization of operators. */

import type { Operator, OperatorRight } from "@cardamomglade/schema";
import {
  bearerTokenOf,
  hashSecret,
  isSameHash,
} from "../callers/authenticate.js";

/** Outcome of an authorization. */
export type Authorization =
  | { readonly type: "allowed"; readonly operator: string }
  | { readonly type: "unknown" }
  | { readonly type: "forbidden"; readonly operator: string };

/** Identifies the operator by the Authorization header and checks that it has a right. */
export const authorize = (
  operators: readonly Operator[],
  header: string | undefined,
  right: OperatorRight,
): Authorization => {
  const hash = hashSecret(bearerTokenOf(header) ?? "");
  const found = operators.find(({ tokenHash }) => isSameHash(tokenHash, hash));
  if (found === undefined) return { type: "unknown" };
  const type = found.rights.includes(right) ? "allowed" : "forbidden";
  return { type, operator: found.name };
};
