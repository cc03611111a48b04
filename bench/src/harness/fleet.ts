/** A fleet of stand-ins and routers for one experiment. */

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

/** What a fleet is made of. */
export interface FleetOptions {
  readonly engines: number;
  readonly routers: number;
  readonly services?: number;
  readonly customers?: number;
  readonly engineFlags?: readonly string[];
  readonly recovery?: RecoveryPolicy;
  readonly mode?: "deterministic" | "differing";
  /** Settings of every router besides the fleet's own. */
  readonly settings?: Partial<Settings>;
  /** Requests that an engine runs at once. */
  readonly slots?: number;
  readonly strategy?: RoutingStrategyName;
  readonly ledger?: Partial<Settings["ledger"]>;
}

const prefix = "/cardamomglade/";
const zones = ["zone-a", "zone-b", "zone-c"];
const region = "region-1";
const callTimeoutMs = 2000;

/** Model and version that every fleet serves. */
export const fleetModel = { model: "reader", version: "v1" };

/** Caller key of the customer with an index. */
export const callerKey = (index: number): string =>
  `caller-key-of-customer-${String(index)}`;

/** Token of the fleet's operator, who has all rights. */
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

/** A running fleet. */
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

  /** Starts everything and waits until every router is ready. */
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

  /** Puts an intent in force, by the store; returns its revision. */
  async putIntent(intent: Intent): Promise<number> {
    this.intent = intent;
    const store = ConfigStore.create(this.keyValueClient, prefix);
    const deadline = Date.now() + callTimeoutMs;
    const base = await store.read(deadline);
    if (base.type === "err")
      throw new Error(`the configuration could not be read: ${base.error}`);
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
      throw new Error(`the intent could not be put: ${outcome.type}`);
    return revision;
  }

  /** The kept revisions of the configuration, oldest first. */
  async readHistory(): Promise<readonly number[]> {
    const store = ConfigStore.create(this.keyValueClient, prefix);
    const read = await store.history(Date.now() + callTimeoutMs);
    if (read.type === "err") throw new Error(read.error);
    return read.value.map(({ revision }) => revision);
  }

  /** Entries of the key-value service below a prefix. */
  async readKeys(below: string): Promise<readonly KeyValueEntry[]> {
    const deadline = now() + callTimeoutMs;
    const options = { prefix: true, deadline };
    const outcome = await this.keyValueClient.range(below, options);
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

  /** Starts a dead router again, with its settings; its addresses change. */
  async restartRouter(index: number): Promise<void> {
    const old = this.routers[index];
    if (old === undefined) return;
    this.routers[index] = await launchRouter(old.name, old.settingsFile);
  }

  /** Stops a router by SIGTERM and starts another with the same settings. */
  async replaceRouter(index: number, graceMs: number): Promise<void> {
    const old = this.routers[index];
    const code = await old?.process.stop(graceMs);
    if (code !== 0)
      throw new Error(`router "${old?.name ?? ""}" ended with ${String(code)}`);
    await this.restartRouter(index);
  }

  /** Stops every process of the fleet. */
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
