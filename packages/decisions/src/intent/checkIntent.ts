/** Checks of an intent beyond its schema: references, names, memory, capacity. */

import {
  BackEndType,
  nearestName,
  type Deployment,
  type Intent,
} from "@cardamomglade/schema";
import type { IntentFault, WeightName } from "./types.js";
import { bytesOf, wantedOn, weightKey, weightOf } from "./weights.js";

const unknownName = (
  pointer: string,
  kind: string,
  name: string,
  known: readonly string[],
): IntentFault[] => {
  if (known.includes(name)) return [];
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? "" : `; nearest known is "${nearest}"`;
  return [{ pointer, message: `${kind} "${name}" does not exist${hint}` }];
};

const duplicates = (
  pointer: string,
  kind: string,
  names: readonly string[],
): IntentFault[] =>
  names.flatMap((name, index) =>
    names.indexOf(name) === index
      ? []
      : [
          {
            pointer: `${pointer}/${String(index)}`,
            message: `${kind} "${name}" is named twice`,
          },
        ],
  );

const namesOf = (list: readonly { readonly name: string }[]): string[] =>
  list.map(({ name }) => name);

const duplicateNames = (intent: Intent): IntentFault[] => [
  ...duplicates("/customers", "customer", namesOf(intent.customers)),
  ...duplicates("/models", "model", namesOf(intent.models)),
  ...duplicates("/backEnds", "back end", namesOf(intent.backEnds)),
  ...duplicates("/deployments", "deployment", namesOf(intent.deployments)),
  ...duplicates("/services", "service", namesOf(intent.services)),
  ...duplicates(
    "/leaving",
    "host",
    intent.leaving.map(({ host }) => host),
  ),
  ...intent.models.flatMap(({ versions }, index) =>
    duplicates(
      `/models/${String(index)}/versions`,
      "version",
      versions.map(({ version }) => version),
    ),
  ),
  ...sharedKeys(intent),
];

const sharedKeys = ({ customers }: Intent): IntentFault[] => {
  const owners = new Map<string, string>();
  return customers.flatMap(({ name, keyHashes }, index) =>
    keyHashes.flatMap((hash, place) => {
      const owner = owners.get(hash);
      owners.set(hash, name);
      const pointer = `/customers/${String(index)}/keyHashes/${String(place)}`;
      return owner === undefined
        ? []
        : [{ pointer, message: `the key is that of customer "${owner}" too` }];
    }),
  );
};

const references = (
  intent: Intent,
  pointer: string,
  type: BackEndType,
  { backEnds, customers }: Pick<Deployment, "backEnds" | "customers">,
): IntentFault[] => {
  const known = intent.backEnds.filter((one) => one.type === type);
  return [
    ...backEnds.flatMap((name, index) =>
      unknownName(
        `${pointer}/backEnds/${String(index)}`,
        `back end of type ${type}`,
        name,
        namesOf(known),
      ),
    ),
    ...duplicates(`${pointer}/backEnds`, "back end", backEnds),
    ...customers.flatMap((name, index) =>
      unknownName(
        `${pointer}/customers/${String(index)}`,
        "customer",
        name,
        namesOf(intent.customers),
      ),
    ),
    ...(backEnds.length === 0
      ? [{ pointer: `${pointer}/backEnds`, message: "there is no back end" }]
      : []),
  ];
};

const modelReferences = (
  intent: Intent,
  pointer: string,
  { model, version, adapter }: Deployment,
): IntentFault[] => {
  const found = intent.models.find(({ name }) => name === model);
  if (found === undefined)
    return unknownName(
      `${pointer}/model`,
      "model",
      model,
      namesOf(intent.models),
    );
  const versions = found.versions.map((one) => one.version);
  const wanted = found.versions.find((one) => one.version === version);
  if (wanted === undefined)
    return unknownName(
      `${pointer}/version`,
      `version of model "${model}"`,
      version,
      versions,
    );
  return adapter === undefined
    ? []
    : unknownName(
        `${pointer}/adapter`,
        `adapter of version "${version}"`,
        adapter,
        namesOf(wanted.adapters ?? []),
      );
};

const storedFaults = (
  pointer: string,
  deployment: Deployment,
  stored: readonly WeightName[] | undefined,
): IntentFault[] => {
  const weight = weightOf(deployment);
  const isStored = stored?.some((one) => weightKey(one) === weightKey(weight));
  return isStored === false
    ? [
        {
          pointer: `${pointer}/version`,
          message: `the weight store does not have "${weightKey(weight)}"`,
        },
      ]
    : [];
};

const memoryFaults = (intent: Intent): IntentFault[] =>
  intent.backEnds.flatMap(({ name, memoryBytes }, index) => {
    const needed = bytesOf(intent, wantedOn(intent.deployments, name));
    if (memoryBytes === undefined || needed <= memoryBytes) return [];
    const message = `weights of ${String(needed)} bytes do not fit the memory of ${String(memoryBytes)} bytes of back end "${name}"`;
    return [{ pointer: `/backEnds/${String(index)}/memoryBytes`, message }];
  });

const leavingFaults = (intent: Intent): IntentFault[] => {
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
      unknownName(`/leaving/${String(index)}/host`, "host", host, hosts),
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

/** Every fault of an intent; the weight store's contents are checked where they are given. */
export const checkIntent = (
  intent: Intent,
  stored?: readonly WeightName[],
): IntentFault[] => [
  ...duplicateNames(intent),
  ...intent.deployments.flatMap((deployment, index) => {
    const pointer = `/deployments/${String(index)}`;
    return [
      ...references(intent, pointer, BackEndType.Engine, deployment),
      ...modelReferences(intent, pointer, deployment),
      ...storedFaults(pointer, deployment, stored),
    ];
  }),
  ...intent.services.flatMap((service, index) =>
    references(
      intent,
      `/services/${String(index)}`,
      BackEndType.Service,
      service,
    ),
  ),
  ...memoryFaults(intent),
  ...leavingFaults(intent),
];
