/** Validates an intent beyond its schema: names, references, stored weights, memory and leaving hosts. */

import {
  BackEndType,
  nearestName,
  type Deployment,
  type Intent,
} from "@cardamomglade/schema";
import type { IntentProblem, WeightId } from "./types.js";
import {
  totalBytesOf,
  weightsRequiredOn,
  weightKeyOf,
  weightIdOf,
} from "./weights.js";

const checkNameExists = (
  pointer: string,
  kind: string,
  name: string,
  known: readonly string[],
): IntentProblem[] => {
  if (known.includes(name)) return [];
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? "" : `; nearest known is "${nearest}"`;
  return [{ pointer, message: `${kind} "${name}" does not exist${hint}` }];
};

const findDuplicates = (
  pointer: string,
  kind: string,
  names: readonly string[],
): IntentProblem[] =>
  names.flatMap((name, index) =>
    names.indexOf(name) === index
      ? []
      : [
          {
            pointer: `${pointer}/${String(index)}`,
            message: `${kind} "${name}" is listed more than once`,
          },
        ],
  );

const namesOf = (list: readonly { readonly name: string }[]): string[] =>
  list.map(({ name }) => name);

const findDuplicateNames = (intent: Intent): IntentProblem[] => [
  ...findDuplicates("/customers", "customer", namesOf(intent.customers)),
  ...findDuplicates("/models", "model", namesOf(intent.models)),
  ...findDuplicates("/backEnds", "back end", namesOf(intent.backEnds)),
  ...findDuplicates("/deployments", "deployment", namesOf(intent.deployments)),
  ...findDuplicates("/services", "service", namesOf(intent.services)),
  ...findDuplicates(
    "/leaving",
    "host",
    intent.leaving.map(({ host }) => host),
  ),
  ...intent.models.flatMap(({ versions }, index) =>
    findDuplicates(
      `/models/${String(index)}/versions`,
      "version",
      versions.map(({ version }) => version),
    ),
  ),
  ...findSharedKeys(intent),
];

const findSharedKeys = ({ customers }: Intent): IntentProblem[] => {
  const owners = new Map<string, string>();
  return customers.flatMap(({ name, keyHashes }, index) =>
    keyHashes.flatMap((hash, place) => {
      const owner = owners.get(hash);
      owners.set(hash, name);
      const pointer = `/customers/${String(index)}/keyHashes/${String(place)}`;
      return owner === undefined
        ? []
        : [
            {
              pointer,
              message: `the key hash is also listed by customer "${owner}"`,
            },
          ];
    }),
  );
};

const checkReferences = (
  intent: Intent,
  pointer: string,
  type: BackEndType,
  { backEnds, customers }: Pick<Deployment, "backEnds" | "customers">,
): IntentProblem[] => {
  const known = intent.backEnds.filter((one) => one.type === type);
  return [
    ...backEnds.flatMap((name, index) =>
      checkNameExists(
        `${pointer}/backEnds/${String(index)}`,
        `back end of type ${type}`,
        name,
        namesOf(known),
      ),
    ),
    ...findDuplicates(`${pointer}/backEnds`, "back end", backEnds),
    ...customers.flatMap((name, index) =>
      checkNameExists(
        `${pointer}/customers/${String(index)}`,
        "customer",
        name,
        namesOf(intent.customers),
      ),
    ),
    ...(backEnds.length === 0
      ? [
          {
            pointer: `${pointer}/backEnds`,
            message: "at least one back end is required",
          },
        ]
      : []),
  ];
};

const checkModelReferences = (
  intent: Intent,
  pointer: string,
  { model, version, adapter }: Deployment,
): IntentProblem[] => {
  const found = intent.models.find(({ name }) => name === model);
  if (found === undefined)
    return checkNameExists(
      `${pointer}/model`,
      "model",
      model,
      namesOf(intent.models),
    );
  const versions = found.versions.map((one) => one.version);
  const wanted = found.versions.find((one) => one.version === version);
  if (wanted === undefined)
    return checkNameExists(
      `${pointer}/version`,
      `version of model "${model}"`,
      version,
      versions,
    );
  return adapter === undefined
    ? []
    : checkNameExists(
        `${pointer}/adapter`,
        `adapter of version "${version}"`,
        adapter,
        namesOf(wanted.adapters ?? []),
      );
};

const checkWeightStored = (
  pointer: string,
  deployment: Deployment,
  stored: readonly WeightId[] | undefined,
): IntentProblem[] => {
  const weight = weightIdOf(deployment);
  const isStored = stored?.some(
    (one) => weightKeyOf(one) === weightKeyOf(weight),
  );
  return isStored === false
    ? [
        {
          pointer: `${pointer}/version`,
          message: `the weight store does not have "${weightKeyOf(weight)}"`,
        },
      ]
    : [];
};

const checkMemory = (intent: Intent): IntentProblem[] =>
  intent.backEnds.flatMap(({ name, memoryBytes }, index) => {
    const needed = totalBytesOf(
      intent,
      weightsRequiredOn(intent.deployments, name),
    );
    if (memoryBytes === undefined || needed <= memoryBytes) return [];
    const message = `weights of ${String(needed)} bytes do not fit the memory of ${String(memoryBytes)} bytes of back end "${name}"`;
    return [{ pointer: `/backEnds/${String(index)}/memoryBytes`, message }];
  });

const checkLeavingHosts = (intent: Intent): IntentProblem[] => {
  const hostOf = new Map(intent.backEnds.map((one) => [one.name, one.host]));
  const leaving = new Set(intent.leaving.map(({ host }) => host));
  const hosts = intent.backEnds.map(({ host }) => host);
  const isLeaving = (backEnd: string) => leaving.has(hostOf.get(backEnd) ?? "");
  const served = [
    ...intent.deployments.map((one, index) => ({
      ...one,
      pointer: `/deployments/${String(index)}`,
      kind: "deployment",
    })),
    ...intent.services.map((one, index) => ({
      ...one,
      pointer: `/services/${String(index)}`,
      kind: "service",
    })),
  ];
  return [
    ...intent.leaving.flatMap(({ host }, index) =>
      checkNameExists(`/leaving/${String(index)}/host`, "host", host, hosts),
    ),
    ...served
      .filter(
        ({ backEnds }) => backEnds.length > 0 && backEnds.every(isLeaving),
      )
      .map(({ pointer, kind, name }) => ({
        pointer: `${pointer}/backEnds`,
        message: `every replica of ${kind} "${name}" is on a leaving host`,
      })),
  ];
};

/** Returns every problem of an intent; the weight store is checked only where its contents are given. */
export const checkIntent = (
  intent: Intent,
  stored?: readonly WeightId[],
): IntentProblem[] => [
  ...findDuplicateNames(intent),
  ...intent.deployments.flatMap((deployment, index) => {
    const pointer = `/deployments/${String(index)}`;
    return [
      ...checkReferences(intent, pointer, BackEndType.Engine, deployment),
      ...checkModelReferences(intent, pointer, deployment),
      ...checkWeightStored(pointer, deployment, stored),
    ];
  }),
  ...intent.services.flatMap((service, index) =>
    checkReferences(
      intent,
      `/services/${String(index)}`,
      BackEndType.Service,
      service,
    ),
  ),
  ...checkMemory(intent),
  ...checkLeavingHosts(intent),
];
