/** A router process of a soak, started, signalled and restarted by its own id. */

import { request } from "node:http";
import { writeFile } from "node:fs/promises";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { pollUntil } from "../harness/pollUntil.js";
import { startProcess, type StartedProcess } from "../harness/processes.js";

/** Where a router listens and what it is told. */
export interface SoakRouterOptions {
  readonly index: number;
  readonly zone: string;
  /** Loopback address of this router alone. */
  readonly ip: string;
  /** Port of the store, as this router reaches it. */
  readonly storePort: number;
  readonly folder: string;
  /** Told of a process that ended though nobody asked it to. */
  readonly onOwnEnd: (code: number | null) => void;
}

/** Bounds of the played platform; the checks use them too. */
export const soakBounds = {
  drainTimeoutMs: 2000,
  graceMs: 8000,
  contactMs: 3000,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  repeatShare: 0.8,
  extraRepeats: 60,
  repeatWindowMs: 10_000,
} as const;

const frontPort = 8740;
const readinessPort = 8749;
const peerPort = 7200;
const askEveryMs = 200; // readiness; two misses take a router out
const readyTimeoutMs = 15_000;

const settingsText = (options: SoakRouterOptions, extra: number): string => {
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
retry_budget_ratio = ${String(soakBounds.repeatShare)}
budget_window_s = ${String(soakBounds.repeatWindowMs / 1000)}
budget_extra_retries = ${String(extra)}
[platform]
address = "127.0.0.1:${String(storePort)}"
`;
};

const askReadiness = (host: string): Promise<boolean> =>
  new Promise((resolve) => {
    const asked = request(
      { host, port: readinessPort, path: "/-/readiness", timeout: askEveryMs },
      (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    asked.on("timeout", () => asked.destroy());
    asked.on("error", () => {
      resolve(false);
    });
    asked.end();
  });

/** One router over all lives of its process. */
export class SoakRouter {
  readonly host: string;
  readonly port = frontPort;
  /** Number of its process; requests of an earlier one are over. */
  life = 0;
  /** Whether new connections come here. */
  isInRotation = false;
  /** Whether a fault is ending and restarting its process. */
  isRestarting = false;
  private process: StartedProcess | undefined;
  private readonly lines: Readonly<Record<string, unknown>>[] = [];
  private isWanted = false;
  private misses = 0;

  private constructor(private readonly options: SoakRouterOptions) {
    this.host = options.ip;
  }

  static async create(options: SoakRouterOptions): Promise<SoakRouter> {
    const router = new SoakRouter(options);
    await router.writeSettings(soakBounds.extraRepeats);
    await router.start();
    return router;
  }

  /** Its log, over all lives. */
  log(): readonly Readonly<Record<string, unknown>>[] {
    return [...this.lines, ...(this.process?.lines ?? [])];
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  async kill(): Promise<void> {
    this.isWanted = false;
    this.signal("SIGKILL");
    await this.process?.exited;
  }

  /** Stops in the planned way; gives the exit code. */
  async stop(): Promise<number | null> {
    this.isWanted = false;
    const code = await this.process?.stop(soakBounds.graceMs);
    return code ?? null;
  }

  /** Starts a new process and waits until it is ready. */
  async start(): Promise<void> {
    this.lines.push(...(this.process?.lines ?? []));
    this.isWanted = true;
    this.life += 1;
    const started = startProcess({
      name: `router-${String(this.options.index)}`,
      script: "relay",
      args: [],
      env: { CARDAMOMGLADE_BOOT: this.settingsFile() },
    });
    this.process = started;
    void started.exited.then((code) => {
      if (this.isWanted && this.process === started)
        this.options.onOwnEnd(code);
    });
    const askReady = async () => (await askReadiness(this.host)) || undefined;
    await pollUntil(askReady, askEveryMs / 4, readyTimeoutMs);
  }

  /** Changes a bound in the settings file and says so. */
  async reload(): Promise<void> {
    await this.writeSettings(soakBounds.extraRepeats - 1);
    this.signal("SIGHUP");
  }

  /** Asks for readiness, as the platform's balancer does, until a moment. */
  async watchReadiness(until: () => boolean): Promise<void> {
    while (!until()) {
      const isReady = await askReadiness(this.host);
      this.misses = isReady ? 0 : this.misses + 1;
      this.isInRotation = this.misses < 2;
      await sleep(askEveryMs);
    }
  }

  private settingsFile(): string {
    const { folder, index } = this.options;
    return path.join(folder, `router-${String(index)}.toml`);
  }

  private async writeSettings(extra: number): Promise<void> {
    await writeFile(this.settingsFile(), settingsText(this.options, extra));
  }
}
