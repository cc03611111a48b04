/** Builds an intent at the fleet size expected in two years. */

import {
  BackEndType,
  CallMethod,
  Priority,
  type BackEnd,
  type Customer,
  type Intent,
} from "@cardamomglade/schema";

/** Number of customers, models and engines in an intent. */
export interface IntentSize {
  readonly customers: number;
  readonly models: number;
  readonly engines: number;
}

/** Fleet size that the routers are designed for. */
export const targetIntentSize: IntentSize = {
  customers: 370,
  models: 5,
  engines: 820,
};

const zoneCount = 5;
const hashChars = 64;

const range = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => index);

const customerAt = (index: number): Customer => ({
  name: `customer-${String(index)}`,
  keyHashes: [String(index).padStart(hashChars, "0")],
  priority: Priority.Standard,
  weight: 1,
  limits: { concurrent: 1000, tokensPerSecond: 100_000 },
});

const engineAt = (index: number): BackEnd => ({
  name: `engine-${String(index)}`,
  type: BackEndType.Engine,
  url: `https://10.1.${String(index >> 8)}.${String(index & 255)}:8443`,
  host: `host-${String(index)}`,
  zone: `zone-${String(index % zoneCount)}`,
  region: `region-${String(index % 2)}`,
  checksFencing: true,
  slots: 64,
});

/** Creates an intent of the given size: the models split the engines evenly, and every customer may use every model. */
export const createCapacityIntent = (size: IntentSize): Intent => {
  const customers = range(size.customers).map(customerAt);
  const backEnds = range(size.engines).map(engineAt);
  const names = customers.map(({ name }) => name);
  const modelAt = (index: number) => `model-${String(index)}`;
  return {
    customers,
    models: range(size.models).map((index) => ({
      name: modelAt(index),
      versions: [{ version: "v1", weightBytes: 140_000_000_000 }],
    })),
    backEnds,
    deployments: range(size.models).map((index) => ({
      name: `deployment-${String(index)}`,
      model: modelAt(index),
      version: "v1",
      backEnds: backEnds
        .filter((_, engine) => engine % size.models === index)
        .map(({ name }) => name),
      customers: names,
      recovery: { type: "latencyFirst", hedge: true },
    })),
    services: [
      {
        name: "bookings",
        backEnds: [],
        customers: names,
        nonRepeatable: [{ method: CallMethod.Post, path: "/book" }],
        timeoutMs: 10_000,
      },
    ],
    leaving: [],
  };
};
