/** Creates plans with their digest. */

import { createHash } from "node:crypto";
import { canonicalJson } from "@cardamomglade/common";
import { createPlan, type PlanBody } from "@cardamomglade/decisions";
import type { Intent, Plan } from "@cardamomglade/schema";
import type { PlanInputs } from "./readPlanInputs.js";

// Expected durations and times differ each time the engines are read, so they are left out of the digest.
const digestOf = ({ baseRevision, intent, steps }: PlanBody): string => {
  const digestedSteps = steps.map(({ stage, kind, detail }) => ({
    stage,
    kind,
    detail,
  }));
  const text = canonicalJson({ baseRevision, intent, steps: digestedSteps });
  return createHash("sha256").update(text).digest("hex");
};

/** Plans the steps from the current state to a target intent. */
export const makePlan = (
  { snapshot, bytesPerSecond, weights }: PlanInputs,
  target: Intent,
): Plan => {
  const stored = weights === undefined ? {} : { stored: weights };
  const body = createPlan({ snapshot, target, bytesPerSecond, ...stored });
  return { digest: digestOf(body), ...body };
};
