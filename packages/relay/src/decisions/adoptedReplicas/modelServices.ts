/** Finds the service of an engine from the models that it reports. */

import type { RelayConfig } from "../../types.js";
import { removeOldest } from "../removeOldest.js";
import type { RelayState } from "../types.js";
import { maxAdoption } from "./constants.js";

/** Notes which services the configuration gives each model; those of earlier configurations still count. */
export const noteModels = (
  { adoption: { servicesByModel } }: RelayState,
  { services: configured }: RelayConfig,
): void => {
  for (const { name, engine } of configured)
    for (const model of engine?.modelNames ?? []) {
      const services = servicesByModel.get(model) ?? new Set<string>();
      servicesByModel.set(model, services.add(name));
    }
  removeOldest(servicesByModel, maxAdoption.models, () => false);
};

/** The only service whose engines ever had all of the models; undefined if there is none or any doubt. */
export const serviceOfModels = (
  { adoption: { servicesByModel } }: RelayState,
  modelNames: readonly string[],
): string | undefined => {
  const found = new Set<string>();
  for (const name of modelNames) {
    const services = servicesByModel.get(name);
    if (services?.size !== 1) return undefined;
    for (const service of services) found.add(service);
  }
  const [service] = found;
  return found.size === 1 ? service : undefined;
};
