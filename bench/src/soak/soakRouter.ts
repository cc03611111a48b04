/** Starts, signals and restarts a router process of a soak test, and probes its readiness. */

import {
  copyFile,
  mkdir,
  readdir,
  readFile,
  rename,
  rm,
  writeFile,
} from "node:fs/promises";
import { request } from "node:http";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  deployArguments,
  repositoryRoot,
  type ProcessEnd,
} from "@cardamomglade/users-platform/testing/bundledRelay";
import { assertNever } from "@cardamomglade/common";
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
import {
  SettingsDamage,
  type RouterUsage,
  type UnexpectedExit,
} from "./types.js";

const probeIntervalMs = 200; // two failed readiness probes take a router out of rotation
const readyTimeoutMs = 15_000;
const hangUpPollMs = 5;
const damagedByteCount = 40;
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
  /** Whether a fault is restarting the process. */
  isRestarting = false;
  readonly unexpectedExits: UnexpectedExit[] = [];
  /** What each of its processes used at most, by incarnation. */
  private readonly usages = new Map<number, RouterUsage>();
  private process: StartedProcess | undefined;
  private readonly ended: StartedProcess[] = [];
  private readonly recorded = new Set<StartedProcess>();
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
    const last = this.process === undefined ? [] : [this.process];
    return [...this.ended, ...last].flatMap(({ lines }) => lines);
  }

  /** Returns what each of its processes used at most. */
  peakUsages(): readonly RouterUsage[] {
    return [...this.usages.values()];
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  /** Pauses its present process; a process that starts meanwhile runs. */
  async pause(durationMs: number): Promise<void> {
    const { process } = this;
    process?.signal("SIGSTOP");
    await sleep(durationMs);
    process?.signal("SIGCONT");
  }

  async kill(): Promise<void> {
    this.isExpectedRunning = false;
    this.signal("SIGKILL");
    await this.process?.exited;
  }

  /** Stops the process gracefully; an exit with an error is recorded. */
  async stop(): Promise<void> {
    this.isExpectedRunning = false;
    await this.stopProcess();
  }

  /** Starts the next process at once, beside the one that is told to stop. */
  async startBeside(): Promise<void> {
    const stopping = this.stopProcess();
    await Promise.all([stopping, this.start()]);
  }

  /** Starts a new process and waits until it is ready. */
  async start(): Promise<void> {
    if (this.process !== undefined) this.ended.push(this.process);
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
      await this.startAgain(started);
    });
    const readReady = async () =>
      (await probeReadiness(this.host)) || undefined;
    await pollUntil(readReady, probeIntervalMs / 4, readyTimeoutMs);
  }

  /** Changes a limit in the settings file and signals the router to reload it. */
  async reload(): Promise<void> {
    await this.writeSettings(soakBounds.extraRetryCount - 1);
    await this.signalHandled("SIGHUP");
  }

  /** Sends a signal once the process has run its first line. */
  async signalHandled(signal: NodeJS.Signals): Promise<void> {
    const { process } = this;
    if (process === undefined) return;
    const readHandled = async () => (await canHangUp(process.pid)) || undefined;
    await pollUntil(readHandled, hangUpPollMs, readyTimeoutMs);
    process.signal(signal);
  }

  async damageSettings(damage: SettingsDamage): Promise<void> {
    const file = this.settingsFile();
    const text = soakSettings(this.options, soakBounds.extraRetryCount);
    switch (damage) {
      case SettingsDamage.Empty:
        return writeFile(file, "");
      case SettingsDamage.HalfWritten:
        return writeFile(file, text.slice(0, text.length / 2));
      case SettingsDamage.Removed:
        return rm(file, { force: true });
      default:
        return assertNever(damage);
    }
  }

  restoreSettings(): Promise<void> {
    return this.writeSettings(soakBounds.extraRetryCount);
  }

  /** Changes bytes all over the code cache of this router's copy of the bundle, but for its head. */
  async damageCache(): Promise<void> {
    const file = path.join(this.folder(), "target/relay.cache");
    const bytes = await readFile(file);
    const step = Math.ceil(bytes.length / damagedByteCount);
    for (let at = step; at < bytes.length; at += step)
      bytes[at] = ~(bytes[at] ?? 0) & 0xff;
    await writeFile(file, bytes);
  }

  /** Copies the bundle, so that a fault may damage it; a process that starts meanwhile finds whole files. */
  async copyBundle(): Promise<void> {
    const source = path.join(repositoryRoot, "target");
    const target = path.join(this.folder(), "target");
    await mkdir(target, { recursive: true });
    for (const entry of await readdir(source, { withFileTypes: true })) {
      if (!entry.isFile()) continue;
      const copy = path.join(target, `${entry.name}.new`);
      await copyFile(path.join(source, entry.name), copy);
      await rename(copy, path.join(target, entry.name));
    }
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

  private async startAgain(ended: StartedProcess): Promise<void> {
    await sleep(restartDelayMs);
    if (this.isExpectedRunning && this.process === ended) await this.start();
  }

  private async stopProcess(): Promise<void> {
    const { process, life } = this;
    const end = await process?.stop(soakBounds.graceMs);
    if (process !== undefined && end !== undefined && end.code !== 0)
      this.recordExit(process, life, end);
  }

  private recordExit(
    process: StartedProcess,
    life: number,
    end: ProcessEnd,
  ): void {
    if (this.recorded.has(process)) return;
    this.recorded.add(process);
    const router = this.options.index;
    const { lastOutput } = process;
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

  private folder(): string {
    return path.join(
      this.options.folder,
      `router-${String(this.options.index)}`,
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
