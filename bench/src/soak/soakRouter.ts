/** Starts, signals and restarts a router process of a soak test, and probes its readiness. */

import { cp, writeFile } from "node:fs/promises";
import { request } from "node:http";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  deployArguments,
  repositoryRoot,
  type ProcessEnd,
} from "@cardamomglade/users-platform/testing/bundledRelay";
import { pollUntil } from "../harness/pollUntil.js";
import { startNodeProcess, type StartedProcess } from "../harness/processes.js";
import { canHangUp, readUsage } from "./processUsage.js";
import {
  frontPort,
  readinessPort,
  soakBounds,
  soakSettings,
  type SoakRouterOptions,
} from "./soakSettings.js";
import type { RouterUsage, UnexpectedExit } from "./types.js";

const probeIntervalMs = 200; // two failed readiness probes take a router out of rotation
const readyTimeoutMs = 15_000;
const hangUpPollMs = 5;
const restartDelayMs = 300; // the platform starts a process that has ended again after a short delay

const probeReadiness = (host: string): Promise<boolean> =>
  new Promise((resolve) => {
    const probe = request(
      {
        host,
        port: readinessPort,
        path: "/-/readiness",
        timeout: probeIntervalMs,
      },
      (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    probe.on("timeout", () => probe.destroy());
    probe.on("error", () => {
      resolve(false);
    });
    probe.end();
  });

/** A router across restarts of its process, which runs the bundle as the deploy file does. */
export class SoakRouter {
  readonly host: string;
  readonly port = frontPort;
  /** Incarnation of the process; connections and requests of earlier ones have ended. */
  life = 0;
  /** Whether new connections are sent to this router. */
  isInRotation = false;
  /** Whether a fault, or the platform after an unexpected exit, is restarting the process. */
  isRestarting = false;
  readonly unexpectedExits: UnexpectedExit[] = [];
  /** What each of its processes used at most, by incarnation. */
  private readonly usages = new Map<number, RouterUsage>();
  private process: StartedProcess | undefined;
  private readonly lines: Readonly<Record<string, unknown>>[] = [];
  private isExpectedRunning = false;
  private failedProbeCount = 0;

  private constructor(private readonly options: SoakRouterOptions) {
    this.host = options.ip;
  }

  static async create(options: SoakRouterOptions): Promise<SoakRouter> {
    const router = new SoakRouter(options);
    await router.copyBundle();
    await router.writeSettings(soakBounds.extraRetryCount);
    await router.start();
    return router;
  }

  /** Returns the log lines of all its processes. */
  log(): readonly Readonly<Record<string, unknown>>[] {
    return [...this.lines, ...(this.process?.lines ?? [])];
  }

  /** Returns what each of its processes used at most. */
  peakUsages(): readonly RouterUsage[] {
    return [...this.usages.values()];
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  async kill(): Promise<void> {
    this.isExpectedRunning = false;
    this.signal("SIGKILL");
    await this.process?.exited;
  }

  /** Stops the process gracefully; an exit with an error is recorded. */
  async stop(): Promise<void> {
    this.isExpectedRunning = false;
    const { process, life } = this;
    const end = await process?.stop(soakBounds.graceMs);
    if (process !== undefined && end !== undefined && end.code !== 0)
      this.recordExit(process, life, end);
  }

  /** Starts a new process and waits until it is ready. */
  async start(): Promise<void> {
    this.lines.push(...(this.process?.lines ?? []));
    this.isExpectedRunning = true;
    this.life += 1;
    const { life } = this;
    const started = startNodeProcess({
      name: `router-${String(this.options.index)}`,
      args: deployArguments(),
      folder: this.folder(),
      env: { CARDAMOMGLADE_BOOT: this.settingsFile() },
      readsStandardError: true,
    });
    this.process = started;
    void started.exited.then(async (end) => {
      if (!this.isExpectedRunning || this.process !== started) return;
      this.recordExit(started, life, end);
      await this.startAgain();
    });
    const readReady = async () =>
      (await probeReadiness(this.host)) || undefined;
    await pollUntil(readReady, probeIntervalMs / 4, readyTimeoutMs);
  }

  /** Changes a limit in the settings file and signals the router to reload it. */
  async reload(): Promise<void> {
    await this.writeSettings(soakBounds.extraRetryCount - 1);
    await this.hangUp();
  }

  /** Sends SIGHUP once the process handles it. */
  async hangUp(): Promise<void> {
    const { process } = this;
    if (process === undefined) return;
    const readHandled = async () => (await canHangUp(process.pid)) || undefined;
    await pollUntil(readHandled, hangUpPollMs, readyTimeoutMs);
    process.signal("SIGHUP");
  }

  /** Probes readiness and reads what the process uses periodically, until `until` returns true. */
  async watch(until: () => boolean): Promise<void> {
    while (!until()) {
      const isReady = await probeReadiness(this.host);
      this.failedProbeCount = isReady ? 0 : this.failedProbeCount + 1;
      this.isInRotation = this.failedProbeCount < 2;
      await this.recordUsage();
      await sleep(probeIntervalMs);
    }
  }

  private async startAgain(): Promise<void> {
    if (this.isRestarting) return;
    this.isRestarting = true;
    await sleep(restartDelayMs);
    if (this.isExpectedRunning) await this.start();
    this.isRestarting = false;
  }

  private recordExit(
    { lastOutput }: StartedProcess,
    life: number,
    end: ProcessEnd,
  ): void {
    const router = this.options.index;
    const at = Date.now();
    this.unexpectedExits.push({ router, life, at, ...end, lastOutput });
  }

  private async recordUsage(): Promise<void> {
    const { process, life } = this;
    if (process === undefined) return;
    const usage = await readUsage(process.pid);
    if (usage === undefined) return;
    const before = this.usages.get(life);
    this.usages.set(life, {
      router: this.options.index,
      life,
      at: Date.now(),
      peakMemoryMb: usage.peakMemoryMb,
      descriptorCount: Math.max(
        usage.descriptorCount,
        before?.descriptorCount ?? 0,
      ),
    });
  }

  /** Its own copy of the bundle, so that a fault may damage it. */
  private folder(): string {
    return path.join(
      this.options.folder,
      `router-${String(this.options.index)}`,
    );
  }

  private async copyBundle(): Promise<void> {
    await cp(
      path.join(repositoryRoot, "target"),
      path.join(this.folder(), "target"),
      { recursive: true },
    );
  }

  private settingsFile(): string {
    return path.join(this.folder(), "boot.toml");
  }

  private async writeSettings(extraRetryCount: number): Promise<void> {
    await writeFile(
      this.settingsFile(),
      soakSettings(this.options, extraRetryCount),
    );
  }
}
