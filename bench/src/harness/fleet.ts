/** Starts stand-ins and routers for an experiment and configures them. */

import { createHash, randomUUID } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { now } from "@cardamomglade/common";
import { KeyValueClient, type KeyValueEntry } from "@cardamomglade/platform";
import { ConfigStore } from "@cardamomglade/router";
import {
  BackEndType,
  CallMethod,
  LogLevel,
  OperatorRight,
  Priority,
  RoutingStrategyName,
  type BackEnd,
  type Customer,
  type Intent,
  type RecoveryPolicy,
  type Settings,
} from "@cardamomglade/schema";
import {
  type FleetMember,
  type FleetRouter,
  launchRouter,
  startStandIn,
  waitUntilReady,
} from "./fleetMembers.js";
import { findFreePort } from "./processes.js";

/** Size and settings of a fleet. */
export interface FleetOptions {
  readonly engines: number;
  readonly routers: number;
  readonly services?: number;
  readonly customers?: number;
  readonly engineFlags?: readonly string[];
  readonly recovery?: RecoveryPolicy;
  readonly mode?: "deterministic" | "differing";
  /** Router settings that override those of the fleet. */
  readonly settings?: Partial<Settings>;
  /** Number of requests that an engine runs concurrently. */
  readonly slots?: number;
  readonly strategy?: RoutingStrategyName;
  readonly ledger?: Partial<Settings["ledger"]>;
}

const prefix = "/cardamomglade/";
const zones = ["zone-a", "zone-b", "zone-c"];
const region = "region-1";
const callTimeoutMs = 2000;

/** Model and version that all fleets serve. */
export const fleetModel = { model: "reader", version: "v1" };

/** Returns the API key of the customer with an index. */
export const callerKey = (index: number): string =>
  `caller-key-of-customer-${String(index)}`;

/** Token of an operator with all rights. */
export const operatorToken = "operator-token-of-the-fleet";

const sha256 = (text: string): string =>
  createHash("sha256").update(text).digest("hex");
const zoneOf = (index: number): string =>
  zones[index % zones.length] ?? "zone-a";

const customerAt = (index: number): Customer => ({
  name: `customer-${String(index)}`,
  keyHashes: [sha256(callerKey(index))],
  priority: Priority.Standard,
  weight: 1,
  limits: { concurrent: 100_000, tokensPerSecond: 10_000_000 },
});

const backEndOf = (
  member: FleetMember,
  type: BackEndType,
  index: number,
  slots = 32,
): BackEnd => ({
  name: member.name,
  type,
  url: member.url,
  host: `host-${member.name}`,
  zone: zoneOf(index),
  region,
  checksFencing: true,
  slots,
});

/** A running fleet of key-value service, back ends and routers. */
export class Fleet {
  routers: FleetRouter[] = [];
  engines: FleetMember[] = [];
  services: FleetMember[] = [];
  intent: Intent;
  private readonly keyValueClient: KeyValueClient;

  private constructor(
    readonly options: FleetOptions,
    readonly keyValue: FleetMember,
    private readonly folder: string,
  ) {
    this.keyValueClient = KeyValueClient.create({ endpoints: [keyValue.url] });
    this.intent = {
      customers: [],
      models: [],
      backEnds: [],
      deployments: [],
      services: [],
      leaving: [],
    };
  }

  /** Starts all processes and waits until every router is ready. */
  static async create(options: FleetOptions): Promise<Fleet> {
    const folder = await mkdtemp(path.join(tmpdir(), "cardamomglade-"));
    const keyValue = await startStandIn("key-value", "key-value", []);
    const fleet = new Fleet(options, keyValue, folder);
    await fleet.startBackEnds();
    fleet.intent = fleet.createIntent();
    await fleet.putIntent(fleet.intent);
    await fleet.startRouters();
    return fleet;
  }

  /** Commits an intent to the configuration store; returns its revision. */
  async putIntent(intent: Intent): Promise<number> {
    this.intent = intent;
    const store = ConfigStore.create(this.keyValueClient, prefix);
    const deadline = Date.now() + callTimeoutMs;
    const base = await store.read(deadline);
    if (base.type === "err")
      throw new Error(`cannot read the configuration: ${base.error}`);
    const revision = (base.value.config?.revision ?? 0) + 1;
    const change = {
      by: "fleet",
      why: "put by an experiment",
      at: Date.now(),
      planDigest: "",
      changeId: randomUUID(),
    };
    const next = { revision, intent, change };
    const outcome = await store.commit(base.value, next, deadline);
    if (outcome.type !== "committed")
      throw new Error(`cannot commit the intent: ${outcome.type}`);
    return revision;
  }

  /** Returns the stored configuration revisions, oldest first. */
  async readHistory(): Promise<readonly number[]> {
    const store = ConfigStore.create(this.keyValueClient, prefix);
    const read = await store.history(Date.now() + callTimeoutMs);
    if (read.type === "err") throw new Error(read.error);
    return read.value.map(({ revision }) => revision);
  }

  /** Returns the entries of the key-value service with a key prefix; none if the read fails. */
  async readKeys(keyPrefix: string): Promise<readonly KeyValueEntry[]> {
    const deadline = now() + callTimeoutMs;
    const options = { prefix: true, deadline };
    const outcome = await this.keyValueClient.range(keyPrefix, options);
    return outcome.type === "done" ? outcome.value.entries : [];
  }

  async startRouter(
    name: string,
    index: number,
    seeds: readonly string[],
    peersPort: number,
  ): Promise<FleetRouter> {
    const settingsFile = path.join(this.folder, `${name}.json`);
    await writeFile(
      settingsFile,
      JSON.stringify(this.settingsOf(name, index, seeds, peersPort)),
    );
    return launchRouter(name, settingsFile);
  }

  /** Restarts a killed router with its settings; its addresses for callers and administration change. */
  async restartRouter(index: number): Promise<void> {
    const old = this.routers[index];
    if (old === undefined) return;
    this.routers[index] = await launchRouter(old.name, old.settingsFile);
  }

  /** Stops a router by SIGTERM and starts a new one with the same settings. */
  async replaceRouter(index: number, graceMs: number): Promise<void> {
    const old = this.routers[index];
    const end = await old?.process.stop(graceMs);
    if (end?.code !== 0)
      throw new Error(
        `router "${old?.name ?? ""}" exited with code ${String(end?.code)} after SIGTERM`,
      );
    await this.restartRouter(index);
  }

  /** Kills all processes of the fleet and deletes its settings files. */
  async stop(): Promise<void> {
    const members = [
      ...this.routers,
      ...this.engines,
      ...this.services,
      this.keyValue,
    ];
    for (const { process: one } of members) one.signal("SIGKILL");
    await Promise.all(members.map(({ process: one }) => one.exited));
    await this.keyValueClient.close();
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startBackEnds(): Promise<void> {
    const {
      engines,
      services = 1,
      engineFlags = [],
      mode = "deterministic",
    } = this.options;
    const loaded = `${fleetModel.model}:${fleetModel.version}`;
    const slots = String(this.options.slots ?? 32);
    const flags = [
      ...["--loaded", loaded, "--mode", mode, "--slots", slots],
      ...engineFlags,
    ];
    this.engines = await Promise.all(
      range(engines).map((index) =>
        startStandIn("engine", `engine-${String(index)}`, flags),
      ),
    );
    this.services = await Promise.all(
      range(services).map((index) =>
        startStandIn("service", `service-${String(index)}`, []),
      ),
    );
  }

  private async startRouters(): Promise<void> {
    const ports = await Promise.all(
      range(this.options.routers).map(() => findFreePort()),
    );
    const seeds = ports.map((port) => `ws://127.0.0.1:${String(port)}`);
    const started = ports.map((port, index) =>
      this.startRouter(`router-${String(index)}`, index, seeds, port),
    );
    this.routers = await Promise.all(started);
    await Promise.all(this.routers.map(waitUntilReady));
  }

  private createIntent(): Intent {
    const customers = range(this.options.customers ?? 2).map(customerAt);
    const names = customers.map(({ name }) => name);
    const { model, version } = fleetModel;
    return {
      customers,
      models: [
        { name: model, versions: [{ version, weightBytes: 1_000_000 }] },
      ],
      backEnds: [
        ...this.engines.map((member, index) =>
          backEndOf(member, BackEndType.Engine, index, this.options.slots),
        ),
        ...this.services.map((member, index) =>
          backEndOf(member, BackEndType.Service, index),
        ),
      ],
      deployments: [
        {
          name: "reader-main",
          model,
          version,
          backEnds: this.engines.map(({ name }) => name),
          customers: names,
          recovery: this.options.recovery ?? {
            type: "latencyFirst",
            hedge: true,
          },
        },
      ],
      services: [
        {
          name: "bookings",
          backEnds: this.services.map(({ name }) => name),
          customers: names,
          nonRepeatable: [{ method: CallMethod.Post, path: "/book" }],
          timeoutMs: 10_000,
        },
      ],
      leaving: [],
    };
  }

  private settingsOf(
    name: string,
    index: number,
    seeds: readonly string[],
    peersPort: number,
  ): Partial<Settings> {
    const address = "127.0.0.1";
    return {
      router: { name, host: `host-${name}`, zone: zoneOf(index), region },
      listen: {
        callers: { address, port: 0 },
        administration: { address, port: 0 },
        peers: { address, port: peersPort },
      },
      keyValue: {
        endpoints: [this.keyValue.url],
        prefix,
        callTimeoutMs,
        fleetWritesPerSecond: 200,
        fleetReadsPerSecond: 1000,
      },
      peers: { seeds: [...seeds], sharedSecret: "shared-secret-of-the-peers" },
      cursorKey: "cursor-key-of-the-fleet",
      operators: [
        {
          name: "operator",
          tokenHash: sha256(operatorToken),
          rights: [
            OperatorRight.Read,
            OperatorRight.Plan,
            OperatorRight.Confirm,
          ],
        },
      ],
      ...(this.options.ledger && {
        ledger: this.options.ledger as Settings["ledger"],
      }),
      log: { level: LogLevel.Info },
      routing: {
        strategy: this.options.strategy ?? RoutingStrategyName.Balanced,
      },
      ...this.options.settings,
    };
  }
}

const range = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => index);
