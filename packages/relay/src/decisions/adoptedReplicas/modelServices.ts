/** Finds the service of an engine from the models that it reports. */

import type { RelayConfig } from "../../types.js";
import type { RelayState } from "../types.js";
import { maxAdoption } from "./constants.js";

/** Notes a service of a model, unless too many models are known. */
const noteModel = (
  { adoption: { servicesByModel } }: RelayState,
  model: string,
  service: string,
): void => {
  const known = servicesByModel.get(model);
  if (known !== undefined) known.add(service);
  else if (servicesByModel.size < maxAdoption.models)
    servicesByModel.set(model, new Set([service]));
};

/**
 * Notes which services the configuration gives each model; those of earlier configurations
 * still count. No model is forgotten for another: one that came back would prove a service
 * that it had in common with a second one before. A model that is not noted proves nothing.
 */
export const noteModels = (
  state: RelayState,
  { services }: RelayConfig,
): void => {
  for (const { name, engine } of services)
    for (const model of engine?.modelNames ?? []) noteModel(state, model, name);
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
