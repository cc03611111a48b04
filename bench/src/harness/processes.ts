/** Processes of an experiment: started, stopped and killed by their own ids. */

import { spawn, type ChildProcess } from "node:child_process";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { pollUntil } from "./pollUntil.js";

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** Lines of its output that are JSON objects. */
  readonly lines: readonly Readonly<Record<string, unknown>>[];
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM and waits; kills after the grace. */
  stop(graceMs?: number): Promise<number | null>;
  readonly exited: Promise<number | null>;
}

const scripts = {
  "stand-in": fileURLToPath(
    import.meta.resolve("@cardamomglade/stand-ins/main"),
  ),
  "byte-pipe": fileURLToPath(new URL("../bytePipe.js", import.meta.url)),
  cardamomglade: fileURLToPath(import.meta.resolve("cardamomglade/main")),
  relay: fileURLToPath(
    import.meta.resolve("@cardamomglade/users-platform/main"),
  ),
};

/** What to start. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: keyof typeof scripts;
  readonly args: readonly string[];
  /** Variables beside those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

const startTimeoutMs = 30_000; // on a machine so busy that a bare process takes seconds
const pollMs = 10;

// Below the range from which the system gives out ports by itself.
const firstPort = 20_000;
const portRange = 10_000;
const portsPerRun = 50;
let nextPort = (process.pid * portsPerRun) % portRange;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/** A port on 127.0.0.1 that was free a moment ago; never the same twice. */
export const findFreePort = async (): Promise<number> => {
  for (;;) {
    nextPort = (nextPort + 1) % portRange;
    const port = firstPort + nextPort;
    if (await isFree(port)) return port;
  }
};

const collectLines = (child: ChildProcess): Record<string, unknown>[] => {
  const lines: Record<string, unknown>[] = [];
  if (child.stdout === null) return lines;
  createInterface({ input: child.stdout }).on("line", (line) => {
    if (line.startsWith("{"))
      lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  return lines;
};

/** Starts a process; its errors go to this process's standard error. */
export const startProcess = ({
  name,
  script,
  args,
  env,
}: ProcessOptions): StartedProcess => {
  const child = spawn(process.execPath, [scripts[script], ...args], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, ...env },
  });
  const lines = collectLines(child);
  const exited = new Promise<number | null>((resolve) =>
    child.once("exit", resolve),
  );
  const stop = async (graceMs = 5000) => {
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), graceMs);
    const code = await exited;
    clearTimeout(timer);
    return code;
  };
  return {
    name,
    pid: child.pid ?? 0,
    lines,
    exited,
    stop,
    signal: (signal) => child.kill(signal),
  };
};

/** The first output line that fits, or an error after the start timeout. */
export const waitForLine = async (
  started: StartedProcess,
  fits: (line: Readonly<Record<string, unknown>>) => boolean,
): Promise<Readonly<Record<string, unknown>>> => {
  const findLine = () => started.lines.find(fits);
  const found = await pollUntil(findLine, pollMs, startTimeoutMs);
  if (found !== undefined) return found;
  throw new Error(
    `process "${started.name}" did not start within ${String(startTimeoutMs)} ms`,
  );
};
