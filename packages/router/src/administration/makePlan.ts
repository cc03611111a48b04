/** A plan with its digest. */

import { createHash } from "node:crypto";
import { canonicalText } from "@cardamomglade/common";
import { createPlan, type PlanBody } from "@cardamomglade/decisions";
import type { Intent, Plan } from "@cardamomglade/schema";
import type { ReadWorld } from "./readWorld.js";

// Expected times and moments vary from reading to reading and are not part of the digest.
const digestOf = ({ baseRevision, intent, steps }: PlanBody): string => {
  const named = steps.map(({ stage, kind, detail }) => ({
    stage,
    kind,
    detail,
  }));
  const text = canonicalText({ baseRevision, intent, steps: named });
  return createHash("sha256").update(text).digest("hex");
};

/** Plans a target intent in the world as read. */
export const makePlan = (
  { world, bytesPerSecond, weights }: ReadWorld,
  target: Intent,
): Plan => {
  const stored = weights === undefined ? {} : { stored: weights };
  const body = createPlan({ world, target, bytesPerSecond, ...stored });
  return { digest: digestOf(body), ...body };
};
