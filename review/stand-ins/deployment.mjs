/** Starts routers as the deploy file runs them, writes the record and ends what was started. */

import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { clearTimeout, setTimeout } from "node:timers";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
const frontPort = 8740;
const readinessPort = 8749;
const controlPort = 8748;
const metricsPort = 9464;
const readyTimeoutMs = 20_000;
const maxRunMs = 110_000;

/** The disruption is left out with TROUBLE=0. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Bounds of the small installations, as DEPLOY.md prints them. */
export const bounds = {
  contactMs: 3000,
  drainTimeoutMs: 2000,
  configApplyMs: 2000,
  graceS: 8,
};

const settingsOf = ({ name, ip, zone, store }) => `node_name = "${name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "${zone}"
region = "marmara"
internal_port_range = [7200, 7215]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
marmara-a = "marmara"
marmara-b = "marmara"
marmara-c = "marmara"
[listen]
front = "${ip}:${frontPort}"
readiness = "${ip}:${readinessPort}"
control = "${ip}:${controlPort}"
[limits]
cpu_share = 0.675
cpu_cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = ${bounds.contactMs}
drain_timeout_ms = ${bounds.drainTimeoutMs}
grace_period_s = ${bounds.graceS}
loss_slack_ms = 200
config_apply_ms = ${bounds.configApplyMs}
rollback_slack_ms = 250
retry_budget_ratio = 0.8
budget_window_s = 10
budget_extra_retries = 150
[platform]
address = "${store.host}:${store.port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`;

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

const areAllFree = async (host) => {
  for (const port of [frontPort, readinessPort, metricsPort, 7200, 7201])
    if (!(await isFree(host, port))) return false;
  return true;
};

/** A loopback network of which no port is in use: the routers' ports are the same on all machines. */
const freeNetwork = async (count) => {
  for (let tries = 0; tries < 50; tries += 1) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const prefix = `127.${part()}.${part()}`;
    const hosts = Array.from(
      { length: count },
      (_, index) => `${prefix}.${10 + index}`,
    );
    const free = await Promise.all(hosts.map(areAllFree));
    if (free.every(Boolean)) return hosts;
  }
  throw new Error("no free loopback network");
};

/** Status of a readiness question; 0 without an answer. */
const askReadiness = (host) =>
  new Promise((resolve) => {
    const req = http.get(
      { host, port: readinessPort, path: "/-/readiness", timeout: 500 },
      (res) => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on("timeout", () => req.destroy());
    req.on("error", () => {
      resolve(0);
    });
  });

/** The command of the router's role in the deploy file. */
const routerCommand = () => {
  const text = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
};

/** A store, routers and the record of a run. */
export class Deployment {
  startedAt = performance.now();
  routers = [];
  children = [];
  stops = [];

  constructor(folder) {
    this.recordFile = path.join(folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.folder = mkdtempSync(path.join(os.tmpdir(), "review-"));
  }

  /** Writes a line to the record, with the milliseconds since the start. */
  record(text) {
    const at = (performance.now() - this.startedAt).toFixed(0);
    appendFileSync(this.recordFile, `${at.padStart(6)} ${text}\n`);
  }

  async startStore() {
    this.store = await Store.create("127.0.0.1");
    this.stops.push(() => {
      this.store.stop();
    });
    return this.store;
  }

  /** Starts a process of the test; it is killed at the end. */
  spawn(command, args, options) {
    const child = spawn(command, args, options);
    child.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        resolve({ code, signal });
      });
    });
    this.children.push(child);
    return child;
  }

  /** Starts routers whose store is at the given address, and waits until they are ready. */
  async startRouters(count, storeAddressOf) {
    const hosts = await freeNetwork(count);
    this.routers = hosts.map((host, index) => {
      const name = `edge-${index + 1}`;
      const zone = `marmara-${"abc"[index % 3]}`;
      const file = path.join(this.folder, `${name}.toml`);
      const store = storeAddressOf?.(index) ?? this.store;
      writeFileSync(file, settingsOf({ name, ip: host, zone, store }));
      const [command, ...args] = routerCommand();
      const child = this.spawn(
        command === "node" ? process.execPath : command,
        args,
        {
          cwd: root,
          env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            LANG: "C.UTF-8",
            CARDAMOMGLADE_BOOT: file,
          },
          stdio: ["ignore", "pipe", "pipe"],
        },
      );
      const router = { name, host, port: frontPort, zone, child, log: [] };
      child.stdout.on("data", (chunk) => router.log.push(chunk));
      child.stderr.on("data", (chunk) => router.log.push(chunk));
      return router;
    });
    const until = performance.now() + readyTimeoutMs;
    for (const { host, name } of this.routers) {
      while ((await askReadiness(host)) !== 200) {
        if (performance.now() > until) throw new Error(`${name} is not ready`);
        await sleep(100);
      }
    }
    this.record(`${count} routers are ready`);
  }

  async stop() {
    for (const child of this.children)
      if (child.exitCode === null && child.signalCode === null)
        child.kill("SIGKILL");
    await Promise.all(this.children.map(({ ended }) => ended));
    for (const stop of this.stops) stop();
    if (process.env.KEEP_LOGS !== undefined)
      for (const { name, log } of this.routers)
        writeFileSync(
          path.join(process.env.KEEP_LOGS, `${name}.log`),
          log.join(""),
        );
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: exits with 1 if it returns broken requests, with 0 if it returns none,
 * and with 2 if it could not run.
 */
export const runCase = async (folder, play) => {
  const deployment = new Deployment(folder);
  const giveUp = async (reason) => {
    deployment.record(`could not run: ${reason}`);
    console.log(`could not run: ${reason}`);
    await deployment.stop();
    process.exit(2);
  };
  process.on("uncaughtException", (error) => {
    void giveUp(error.stack);
  });
  setTimeout(() => {
    void giveUp("it takes too long");
  }, maxRunMs).unref();
  deployment.record(`disruption: ${hasTrouble ? "yes" : "no"}`);
  let status = 2;
  try {
    const broken = await play(deployment);
    status = broken.length > 0 ? 1 : 0;
    for (const line of broken) deployment.record(`BROKEN: ${line}`);
    const verdict = status === 1 ? "the rule was broken" : "the rule held";
    deployment.record(verdict);
    console.log(`${verdict}: ${broken.length} findings`);
    for (const line of broken.slice(0, 5)) console.log(line);
  } catch (error) {
    deployment.record(`could not run: ${error.message}`);
    console.log(`could not run: ${error.stack}`);
  } finally {
    await deployment.stop();
  }
  process.exit(status);
};

/** Creates a server whose handler may fail only because its caller closed the channel. */
export const createReplicaServer = (handler) =>
  http.createServer((req, res) => {
    res.on("error", () => undefined); // the channel was reset
    handler(req, res).catch((error) => {
      if (!req.destroyed && !res.destroyed) throw error;
    });
  });

/** Sends one request on a channel of its own; resolves with what the caller sees. */
export const sendRequest = (
  { host, port },
  { method = "GET", target, headers, body = "", timeoutMs = 30_000 },
) =>
  new Promise((resolve) => {
    const seen = { status: 0, headers: {}, body: "", end: "none" };
    const finish = (end) => {
      if (seen.end !== "none") return;
      seen.end = end;
      clearTimeout(timer);
      req.destroy();
      resolve(seen);
    };
    const req = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      headers: {
        ...headers,
        ...(method === "POST" && { "content-length": body.length }),
      },
    });
    const timer = setTimeout(() => {
      finish("the caller left");
    }, timeoutMs);
    req.on("error", (error) => {
      finish(`channel lost: ${error.code ?? error.message}`);
    });
    req.on("response", (res) => {
      seen.status = res.statusCode;
      seen.headers = res.headers;
      res.setEncoding("utf8");
      res.on("data", (text) => (seen.body += text));
      res.on("error", (error) => {
        finish(`broken off: ${error.code ?? error.message}`);
      });
      res.on("end", () => {
        finish(res.complete ? "complete" : "broken off");
      });
    });
    req.end(body);
  });

/** The routes' common part, with the times of the sheets. */
export const routeOf = (fields) => ({
  timeout_ms: 2500,
  target_latency_ms: 193,
  priority: 2,
  max_attempts: 5,
  ...fields,
});
