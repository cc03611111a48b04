/** Store, replicas, fault proxies and routers of a soak test. */

import { mkdtemp, rm } from "node:fs/promises";
import os from "node:os";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { StandInStore } from "@cardamomglade/users-platform/testing/standInStore";
import { FaultProxy } from "@cardamomglade/common/testing/faultProxy";
import { deskReplicaCount } from "./planSoak.js";
import { requestTimeoutMs, soakHostname } from "./soakCaller.js";
import { ReplicaFaultMode, SoakReplica } from "./soakReplica.js";
import { SoakRouter } from "./soakRouter.js";
import {
  RequestType,
  type AcceptedVersion,
  type Arrival,
  type CallerAnswer,
  type LeavingReplica,
  type RecordedRun,
  type SoakPlan,
} from "./types.js";

/** API key that is valid in every configuration version. */
export const permanentKey = "steady";

/** A proxied address of a replica; faults may replace the replica behind it. */
interface ReplicaEndpoint {
  readonly proxy: FaultProxy;
  readonly zone: string;
  readonly service: string;
  replica: SoakReplica;
  /** Whether a fault is replacing the replica. */
  isBeingReplaced: boolean;
}

const zones = ["zone-a", "zone-b", "zone-c"];
const engineService = "engines";
const deskServices = ["desk-0", "desk-1"];
/** Takes large bodies and gives large answers; its few slots make requests wait. */
const largeService = "large";
const largeReplicaCount = 2;
const slotCount = 48;
const eventIntervalsMs = [25, 28, 31]; // of the replicas in turn
const largeSlotCount = 2;
const entryExpiryMs = 1200; // the store entry of a crashed replica expires after some missed heartbeats
const replacementDelayMs = 800;

const zoneOf = (index: number): string => zones[index % zones.length] ?? "";

const addressOf = ({ proxy }: ReplicaEndpoint): string =>
  `127.0.0.1:${String(proxy.port)}`;

const route = (prefix: string, kind: string, service: string) => ({
  name: prefix,
  hostname: soakHostname,
  prefix,
  kind,
  service,
  timeout_ms: kind === "streaming" ? 12_000 : 2500,
  target_latency_ms: kind === "streaming" ? 2000 : 193,
  // Bookings also have several attempts: one that was not run may be retried on another replica, one that ran may not.
  max_attempts: 5,
  stream_resume: kind === "streaming",
  gap_target_ms: 700,
});

/** The system under test; stops only the processes that it started. */
export class SoakFleet {
  readonly routers: SoakRouter[] = [];
  readonly arrivals: Arrival[] = [];
  readonly runs: RecordedRun[] = [];
  readonly versions: AcceptedVersion[] = [];
  readonly leaving: LeavingReplica[] = [];
  /** How requests of the process faults ended: those with large bodies, and with late ones. */
  readonly extraAnswers: CallerAnswer[] = [];
  /** What the operator and the replicas have in the store. */
  private readonly written = new Map<string, unknown>();
  private readonly endpoints: ReplicaEndpoint[] = [];
  private readonly storeLinks: FaultProxy[] = [];
  private lastReplicaNumber = 0;
  private reportCount = 0;

  private constructor(
    readonly store: StandInStore,
    private readonly folder: string,
    private readonly runKeepers: readonly number[],
  ) {}

  static async create({
    routers,
    engines,
    memoryMb,
    runKeepers,
  }: SoakPlan): Promise<SoakFleet> {
    const store = await StandInStore.create();
    const folder = await mkdtemp(path.join(os.tmpdir(), "soak-"));
    const fleet = new SoakFleet(store, folder, runKeepers);
    fleet.changeConfig();
    for (let index = 0; index < engines; index += 1)
      await fleet.addEndpoint(engineService, zoneOf(index));
    for (let index = 0; index < deskReplicaCount; index += 1)
      await fleet.addEndpoint(
        deskServices[index % deskServices.length] ?? "",
        zoneOf(index >> 1),
      );
    for (let index = 0; index < largeReplicaCount; index += 1)
      await fleet.addEndpoint(largeService, zoneOf(index));
    await fleet.startRouters(routers, memoryMb);
    return fleet;
  }

  /** Returns the endpoint that a planned fault targets. */
  endpointAt(index: number): ReplicaEndpoint {
    const endpoint = this.endpoints[index % this.endpoints.length];
    if (endpoint === undefined) throw new Error("fleet has no replicas");
    return endpoint;
  }

  /** Returns a third of all endpoints, including the one that a planned fault targets. */
  everyThirdEndpoint(index: number): ReplicaEndpoint[] {
    const divisor = 3;
    return this.endpoints.filter(
      (_, other) => other % divisor === index % divisor,
    );
  }

  routerAt(index: number): SoakRouter {
    const router = this.routers[index];
    if (router === undefined)
      throw new Error("fleet has no router with this index");
    return router;
  }

  /** Returns the proxy between a router and the store. */
  storeLink(router: number): FaultProxy {
    const link = this.storeLinks[router];
    if (link === undefined)
      throw new Error("fleet has no router with this index");
    return link;
  }

  /** Stores a new configuration version, which routes desk requests to the other service and replaces one API key. */
  changeConfig(): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 1;
    const service = deskServices[version % deskServices.length] ?? "";
    this.write("op/config", {
      version,
      routes: [
        route("/stream/", "streaming", engineService),
        route("/book/", "non_idempotent", service),
        route("/check/", "idempotent", service),
        {
          ...route("/large/", "idempotent", largeService),
          timeout_ms: requestTimeoutMs[RequestType.Large],
        },
      ],
      services: [
        {
          name: engineService,
          inference_engine: { backups: true, moves: true },
        },
        ...[...deskServices, largeService].map((name) => ({ name })),
      ],
      tenants: [
        { name: "owner", api_keys: [permanentKey, `key-${String(version)}`] },
      ],
    });
    this.versions.push({ version, service, at: Date.now() });
  }

  /** Writes again what the operator and the replicas wrote, after the store lost some of it. */
  writeAgain(): void {
    for (const [key, document] of this.written) this.store.put(key, document);
    for (const key of this.store.keys())
      if (key.startsWith("servers/") && !this.written.has(key))
        this.store.remove(key);
  }

  private write(key: string, document: unknown): void {
    this.written.set(key, document);
    this.store.put(key, document);
  }

  private remove(key: string): void {
    this.written.delete(key);
    this.store.remove(key);
  }

  /** Crashes a replica; a new replica takes over its address. */
  async crash(endpoint: ReplicaEndpoint): Promise<void> {
    if (endpoint.isBeingReplaced) return;
    endpoint.isBeingReplaced = true;
    const { replica } = endpoint;
    replica.crash();
    await sleep(replacementDelayMs);
    await this.replace(endpoint);
    await sleep(Math.max(0, entryExpiryMs - replacementDelayMs));
    this.remove(`servers/${replica.id}`);
    endpoint.isBeingReplaced = false;
  }

  /** Drains a replica and replaces it by a new one. */
  async drain(endpoint: ReplicaEndpoint, drainMs: number): Promise<void> {
    if (endpoint.isBeingReplaced) return;
    endpoint.isBeingReplaced = true;
    const { replica } = endpoint;
    this.register(endpoint, "draining");
    this.leaving.push({ replica: replica.id, at: Date.now() });
    await sleep(drainMs);
    this.remove(`servers/${replica.id}`);
    replica.crash();
    await this.replace(endpoint);
    endpoint.isBeingReplaced = false;
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kill()));
    for (const { proxy, replica } of this.endpoints) {
      proxy.stop();
      replica.crash();
    }
    for (const link of this.storeLinks) link.stop();
    this.store.stop();
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startRouters(count: number, memoryMb: number): Promise<void> {
    const starting = Array.from({ length: count }, async (_, index) => {
      const link = await FaultProxy.create(this.store.address.port);
      this.storeLinks[index] = link;
      this.routers[index] = await SoakRouter.create({
        index,
        zone: zoneOf(index),
        // A loopback address for each router; different for concurrent runs on this machine.
        ip: `127.${String(1 + (process.pid % 250))}.${String((process.pid >> 8) % 250)}.${String(10 + index)}`,
        storePort: link.port,
        folder: this.folder,
        memoryMb,
      });
    });
    await Promise.all(starting);
  }

  private async addEndpoint(service: string, zone: string): Promise<void> {
    const index = this.endpoints.length;
    const replica = await this.startReplica(index, service, zone);
    const proxy = await FaultProxy.create(replica.port);
    const endpoint = { proxy, zone, service, replica, isBeingReplaced: false };
    this.endpoints.push(endpoint);
    this.register(endpoint, "ready");
  }

  private async replace(endpoint: ReplicaEndpoint): Promise<void> {
    const { service, zone } = endpoint;
    const index = this.endpoints.indexOf(endpoint);
    endpoint.replica = await this.startReplica(index, service, zone);
    endpoint.proxy.setTarget(endpoint.replica.port);
    this.register(endpoint, "ready");
  }

  private async startReplica(
    endpoint: number,
    service: string,
    zone: string,
  ): Promise<SoakReplica> {
    this.lastReplicaNumber += 1;
    return SoakReplica.create(
      {
        id: `replica-${String(this.lastReplicaNumber)}`,
        service,
        zone,
        endpoint,
        eventIntervalMs:
          eventIntervalsMs[endpoint % eventIntervalsMs.length] ?? 0,
        keepsRuns: this.runKeepers.includes(endpoint),
        onArrival: (arrival) => {
          this.arrivals.push(arrival);
        },
        onRun: (run) => {
          this.runs.push(run);
        },
      },
      {
        replicaAt: (address) =>
          this.endpoints.find((one) => addressOf(one) === address)?.replica,
        addressOf: (replica) => {
          const own = this.endpoints.find((one) => one.replica === replica);
          return own === undefined ? "" : addressOf(own);
        },
      },
    );
  }

  private register(endpoint: ReplicaEndpoint, state: string) {
    const { replica, service, zone } = endpoint;
    this.reportCount += 1;
    this.write(`servers/${replica.id}`, {
      service,
      address: addressOf(endpoint),
      zone,
      version: "v1",
      slot_count: service === largeService ? largeSlotCount : slotCount,
      state,
      born: replica.startedAt,
      sequence: this.reportCount,
    });
  }
}

/** Sets the fault mode of a replica for `durationMs`. */
export const setFaultModeFor = async (
  { replica }: { readonly replica: SoakReplica },
  faultMode: ReplicaFaultMode,
  durationMs: number,
): Promise<void> => {
  replica.faultMode = faultMode;
  await sleep(durationMs);
  replica.faultMode = ReplicaFaultMode.Healthy;
};
