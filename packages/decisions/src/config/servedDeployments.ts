/** Deployments as they are served at present. */

import type { Deployment } from "@cardamomglade/schema";
import type { AcceptedConfig } from "./types.js";

/**
 * The intent's deployments; one whose weights are not loaded yet is served as
 * `serving` says, for the customers that the intent names.
 */
export const servedDeployments = ({
  intent,
  serving = [],
}: AcceptedConfig): Deployment[] => {
  const held = new Map(serving.map((one) => [one.name, one]));
  return intent.deployments.map((wanted) => {
    const { customers, recovery } = wanted;
    const old = held.get(wanted.name);
    return old === undefined ? wanted : { ...old, customers, recovery };
  });
};
