/** Starts, signals and restarts a router process of a soak test, and probes its readiness. */

import { request } from "node:http";
import { readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { pollUntil } from "../harness/pollUntil.js";
import { startProcess, type StartedProcess } from "../harness/processes.js";

/** Settings of a router and its callback. */
export interface SoakRouterOptions {
  readonly index: number;
  readonly zone: string;
  /** Loopback address that only this router uses. */
  readonly ip: string;
  /** Port at which this router connects to the store (a fault proxy). */
  readonly storePort: number;
  readonly folder: string;
  /** Called when the process exits without having been stopped or killed. */
  readonly onUnexpectedExit: (code: number | null) => void;
}

/** Time and retry limits of the system under test; the checks use the same values. */
export const soakBounds = {
  drainTimeoutMs: 2000,
  graceMs: 8000,
  maxContactAgeMs: 3000,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  retryBudgetRatio: 0.8,
  extraRetryCount: 60,
  retryWindowMs: 10_000,
} as const;

const frontPort = 8740;
const readinessPort = 8749;
const peerPort = 7200;
const probeIntervalMs = 200; // two failed readiness probes take a router out of rotation
const readyTimeoutMs = 15_000;
const hangUpPollMs = 5;
const hangUpBit = 1n; // of a mask of signals: SIGHUP has the number 1

const settingsText = (
  options: SoakRouterOptions,
  extraRetryCount: number,
): string => {
  const { index, zone, ip, storePort } = options;
  return `node_name = "router-${String(index)}"
ip = "${ip}"
zone = "${zone}"
internal_port_range = [${String(peerPort)}, ${String(peerPort)}]
[listen]
front = "${ip}:${String(frontPort)}"
readiness = "${ip}:${String(readinessPort)}"
[bounds]
drain_timeout_ms = ${String(soakBounds.drainTimeoutMs)}
grace_period_s = ${String(soakBounds.graceMs / 1000)}
retry_budget_ratio = ${String(soakBounds.retryBudgetRatio)}
budget_window_s = ${String(soakBounds.retryWindowMs / 1000)}
budget_extra_retries = ${String(extraRetryCount)}
[platform]
address = "127.0.0.1:${String(storePort)}"
`;
};

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

/**
 * Whether a process handles SIGHUP, or has ended. Until Node.js runs the router's first
 * line, the signal ends it: no router can help that.
 */
const canHangUp = async (pid: number): Promise<boolean> => {
  try {
    const status = await readFile(`/proc/${String(pid)}/status`, "utf8");
    const caught = /^SigCgt:\s*(\w+)/m.exec(status)?.[1] ?? "0";
    return (BigInt(`0x${caught}`) & hangUpBit) !== 0n;
  } catch {
    return true; // it has ended
  }
};

/** A router across restarts of its process. */
export class SoakRouter {
  readonly host: string;
  readonly port = frontPort;
  /** Incarnation of the process; connections and requests of earlier ones have ended. */
  life = 0;
  /** Whether new connections are sent to this router. */
  isInRotation = false;
  /** Whether a fault is restarting the process. */
  isRestarting = false;
  private process: StartedProcess | undefined;
  private readonly lines: Readonly<Record<string, unknown>>[] = [];
  private isExpectedRunning = false;
  private failedProbeCount = 0;

  private constructor(private readonly options: SoakRouterOptions) {
    this.host = options.ip;
  }

  static async create(options: SoakRouterOptions): Promise<SoakRouter> {
    const router = new SoakRouter(options);
    await router.writeSettings(soakBounds.extraRetryCount);
    await router.start();
    return router;
  }

  /** Returns the log lines of all its processes. */
  log(): readonly Readonly<Record<string, unknown>>[] {
    return [...this.lines, ...(this.process?.lines ?? [])];
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  async kill(): Promise<void> {
    this.isExpectedRunning = false;
    this.signal("SIGKILL");
    await this.process?.exited;
  }

  /** Stops the process gracefully and returns its exit code. */
  async stop(): Promise<number | null> {
    this.isExpectedRunning = false;
    const code = await this.process?.stop(soakBounds.graceMs);
    return code ?? null;
  }

  /** Starts a new process and waits until it is ready. */
  async start(): Promise<void> {
    this.lines.push(...(this.process?.lines ?? []));
    this.isExpectedRunning = true;
    this.life += 1;
    const started = startProcess({
      name: `router-${String(this.options.index)}`,
      script: "relay",
      args: [],
      env: { CARDAMOMGLADE_BOOT: this.settingsFile() },
    });
    this.process = started;
    void started.exited.then((code) => {
      if (this.isExpectedRunning && this.process === started)
        this.options.onUnexpectedExit(code);
    });
    const readReady = async () =>
      (await probeReadiness(this.host)) || undefined;
    await pollUntil(readReady, probeIntervalMs / 4, readyTimeoutMs);
  }

  /** Changes a limit in the settings file and signals the router to reload it. */
  async reload(): Promise<void> {
    await this.writeSettings(soakBounds.extraRetryCount - 1);
    const { process } = this;
    if (process === undefined) return;
    const readHandled = async () => (await canHangUp(process.pid)) || undefined;
    await pollUntil(readHandled, hangUpPollMs, readyTimeoutMs);
    process.signal("SIGHUP");
  }

  /** Probes readiness periodically, as the platform's load balancer does, until `until` returns true. */
  async watchReadiness(until: () => boolean): Promise<void> {
    while (!until()) {
      const isReady = await probeReadiness(this.host);
      this.failedProbeCount = isReady ? 0 : this.failedProbeCount + 1;
      this.isInRotation = this.failedProbeCount < 2;
      await sleep(probeIntervalMs);
    }
  }

  private settingsFile(): string {
    const { folder, index } = this.options;
    return path.join(folder, `router-${String(index)}.toml`);
  }

  private async writeSettings(extraRetryCount: number): Promise<void> {
    await writeFile(
      this.settingsFile(),
      settingsText(this.options, extraRetryCount),
    );
  }
}
