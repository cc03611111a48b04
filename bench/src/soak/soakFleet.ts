/** Store, replicas, proxies and routers of a soak. */

import { mkdtemp, rm } from "node:fs/promises";
import os from "node:os";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { StandInStore } from "@cardamomglade/users-platform/testing/standInStore";
import { FaultProxy } from "./faultProxy.js";
import { desks } from "./planSoak.js";
import { soakHostname } from "./soakCaller.js";
import { ReplicaMood, SoakReplica } from "./soakReplica.js";
import { SoakRouter } from "./soakRouter.js";
import type { AcceptedVersion, Arrival, Leaving, OwnEnd } from "./types.js";

/** Key that every configuration holds. */
export const steadyKey = "steady";

/** A replica's place: its process may be replaced by a later one. */
interface Place {
  readonly proxy: FaultProxy;
  readonly zone: string;
  readonly service: string;
  replica: SoakReplica;
  /** Whether a fault is replacing its replica. */
  isChanging: boolean;
}

const zones = ["zone-a", "zone-b", "zone-c"];
const engineService = "engines";
const deskServices = ["desk-0", "desk-1"];
const lapseMs = 1200; // a crashed replica's entry goes after some heartbeats
const replaceMs = 800;

const zoneOf = (index: number): string => zones[index % zones.length] ?? "";

const route = (prefix: string, kind: string, service: string) => ({
  name: prefix,
  hostname: soakHostname,
  prefix,
  kind,
  service,
  timeout_ms: kind === "streaming" ? 12_000 : 2500,
  target_latency_ms: kind === "streaming" ? 2000 : 193,
  // Several also for bookings: one that was not run may go elsewhere, one that was may not.
  max_attempts: 5,
  stream_resume: kind === "streaming",
  gap_target_ms: 700,
});

/** The played system; it ends only what it started. */
export class SoakFleet {
  readonly routers: SoakRouter[] = [];
  readonly arrivals: Arrival[] = [];
  readonly versions: AcceptedVersion[] = [];
  readonly leaving: Leaving[] = [];
  readonly ownEnds: OwnEnd[] = [];
  private readonly places: Place[] = [];
  private readonly storeLinks: FaultProxy[] = [];
  private nextReplica = 0;

  private constructor(
    readonly store: StandInStore,
    private readonly folder: string,
  ) {}

  static async create(routers: number, engines: number): Promise<SoakFleet> {
    const store = await StandInStore.create();
    const folder = await mkdtemp(path.join(os.tmpdir(), "soak-"));
    const fleet = new SoakFleet(store, folder);
    fleet.changeConfig();
    for (let index = 0; index < engines; index += 1)
      await fleet.addPlace(engineService, zoneOf(index));
    for (let index = 0; index < desks; index += 1)
      await fleet.addPlace(
        deskServices[index % deskServices.length] ?? "",
        zoneOf(index >> 1),
      );
    await fleet.startRouters(routers);
    return fleet;
  }

  /** The place of a planned fault. */
  placeAt(index: number): Place {
    const place = this.places[index % this.places.length];
    if (place === undefined) throw new Error("the fleet has no replica");
    return place;
  }

  /** A third of all places, that of a planned fault among them. */
  placesLike(index: number): Place[] {
    const third = 3;
    return this.places.filter((_, other) => other % third === index % third);
  }

  /** The way of one router to the store. */
  storeLink(router: number): FaultProxy {
    const link = this.storeLinks[router];
    if (link === undefined) throw new Error("the fleet has no such router");
    return link;
  }

  /** Puts a new version in force: desk requests move to the other service, and one key is replaced. */
  changeConfig(): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 1;
    const service = deskServices[version % deskServices.length] ?? "";
    this.store.put("op/config", {
      version,
      routes: [
        route("/stream/", "streaming", engineService),
        route("/book/", "non_idempotent", service),
        route("/check/", "idempotent", service),
      ],
      services: [
        { name: engineService, inference_engine: { backups: true } },
        ...deskServices.map((name) => ({ name })),
      ],
      tenants: [
        { name: "owner", api_keys: [steadyKey, `key-${String(version)}`] },
      ],
    });
    this.versions.push({ version, service, at: Date.now() });
  }

  /** Ends a replica at once; another one takes its address. */
  async crash(place: Place): Promise<void> {
    if (place.isChanging) return;
    place.isChanging = true;
    const { replica } = place;
    replica.crash();
    await sleep(replaceMs);
    await this.replace(place);
    await sleep(Math.max(0, lapseMs - replaceMs));
    this.store.remove(`servers/${replica.id}`);
    place.isChanging = false;
  }

  /** Takes a replica away in the planned way, and puts another in its place. */
  async drain(place: Place, drainMs: number): Promise<void> {
    if (place.isChanging) return;
    place.isChanging = true;
    const { replica } = place;
    this.register(place, "draining");
    this.leaving.push({ replica: replica.id, at: Date.now() });
    await sleep(drainMs);
    this.store.remove(`servers/${replica.id}`);
    replica.crash();
    await this.replace(place);
    place.isChanging = false;
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kill()));
    for (const { proxy, replica } of this.places) {
      proxy.stop();
      replica.crash();
    }
    for (const link of this.storeLinks) link.stop();
    this.store.stop();
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startRouters(count: number): Promise<void> {
    const starting = Array.from({ length: count }, async (_, index) => {
      const link = await FaultProxy.create(this.store.address.port);
      this.storeLinks[index] = link;
      this.routers[index] = await SoakRouter.create({
        index,
        zone: zoneOf(index),
        // An address of its own for each router of each run on this machine.
        ip: `127.${String(1 + (process.pid % 250))}.${String((process.pid >> 8) % 250)}.${String(10 + index)}`,
        storePort: link.port,
        folder: this.folder,
        onOwnEnd: (code) => {
          this.ownEnds.push({ router: index, at: Date.now(), code });
        },
      });
    });
    await Promise.all(starting);
  }

  private async addPlace(service: string, zone: string): Promise<void> {
    const replica = await this.startReplica(service, zone);
    const proxy = await FaultProxy.create(replica.port);
    const place = { proxy, zone, service, replica, isChanging: false };
    this.places.push(place);
    this.register(place, "ready");
  }

  private async replace(place: Place): Promise<void> {
    place.replica = await this.startReplica(place.service, place.zone);
    place.proxy.retarget(place.replica.port);
    this.register(place, "ready");
  }

  private async startReplica(
    service: string,
    zone: string,
  ): Promise<SoakReplica> {
    this.nextReplica += 1;
    const id = `replica-${String(this.nextReplica)}`;
    const onArrival = (arrival: Arrival) => {
      this.arrivals.push(arrival);
    };
    return SoakReplica.create({ id, service, zone, onArrival }, (address) =>
      this.engineAt(address),
    );
  }

  private engineAt(address: string): SoakReplica | undefined {
    const port = Number(address.split(":")[1]);
    return this.places.find(({ proxy }) => proxy.port === port)?.replica;
  }

  private register({ proxy, replica, service, zone }: Place, state: string) {
    this.store.put(`servers/${replica.id}`, {
      service,
      address: `127.0.0.1:${String(proxy.port)}`,
      zone,
      version: 1,
      slot_count: 48,
      state,
      born: replica.startedAt,
    });
  }
}

/** Sets a replica's mood for a while. */
export const moodFor = async (
  { replica }: { readonly replica: SoakReplica },
  mood: ReplicaMood,
  lastsMs: number,
): Promise<void> => {
  replica.mood = mood;
  await sleep(lastsMs);
  replica.mood = ReplicaMood.Sound;
};
