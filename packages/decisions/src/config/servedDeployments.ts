/** Deployments as currently served. */

import type { Deployment } from "@cardamomglade/schema";
import type { AcceptedConfig } from "./types.js";

/**
 * Returns the deployments of the intent. A deployment whose new weights are not loaded
 * yet is served as recorded in `serving`, with the customers and the recovery policy
 * of the intent.
 */
export const servedDeployments = ({
  intent,
  serving = [],
}: AcceptedConfig): Deployment[] => {
  const servedByName = new Map(serving.map((one) => [one.name, one]));
  return intent.deployments.map((wanted) => {
    const { customers, recovery } = wanted;
    const served = servedByName.get(wanted.name);
    return served === undefined ? wanted : { ...served, customers, recovery };
  });
};
