/** Starts processes of an experiment and signals them by process id. */

import { spawn, type ChildProcess } from "node:child_process";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { pollUntil } from "./pollUntil.js";

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** Lines of its standard output that are JSON objects. */
  readonly lines: readonly Readonly<Record<string, unknown>>[];
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM and waits for the exit; sends SIGKILL after `graceMs`. */
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

/** A process to start. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: keyof typeof scripts;
  readonly args: readonly string[];
  /** Environment variables added to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

const startTimeoutMs = 30_000; // on a busy machine even an empty process takes seconds to start
const pollIntervalMs = 10;

// Below the ephemeral port range of the operating system.
const firstPort = 20_000;
const portCount = 10_000;
const portCountPerRun = 50;
let nextPort = (process.pid * portCountPerRun) % portCount;

const isPortFree = (port: number): Promise<boolean> =>
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

/** Returns a port on 127.0.0.1 that was free when it was checked. Ports are tried in turn, so that none is returned twice in a run. */
export const findFreePort = async (): Promise<number> => {
  for (;;) {
    nextPort = (nextPort + 1) % portCount;
    const port = firstPort + nextPort;
    if (await isPortFree(port)) return port;
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

/** Starts a process; its standard error is that of this process. */
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

/** Returns the first output line that matches; throws after the start timeout. */
export const waitForLine = async (
  started: StartedProcess,
  matches: (line: Readonly<Record<string, unknown>>) => boolean,
): Promise<Readonly<Record<string, unknown>>> => {
  const findLine = () => started.lines.find(matches);
  const found = await pollUntil(findLine, pollIntervalMs, startTimeoutMs);
  if (found !== undefined) return found;
  throw new Error(
    `process "${started.name}" did not print the expected line within ${String(startTimeoutMs)} ms`,
  );
};
