/** Starts processes of an experiment and signals them by process id. */

import { spawn, type ChildProcess } from "node:child_process";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { ProcessEnd } from "@cardamomglade/users-platform/testing/bundledRelay";
import { pollUntil } from "./pollUntil.js";

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** Lines of its standard output that are JSON objects. */
  readonly lines: readonly Readonly<Record<string, unknown>>[];
  /** The last lines of its standard output and of its standard error, where that is read. */
  readonly lastOutput: readonly string[];
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM and waits for the exit; sends SIGKILL after `graceMs`. */
  stop(graceMs?: number): Promise<ProcessEnd>;
  readonly exited: Promise<ProcessEnd>;
}

const scripts = {
  "stand-in": fileURLToPath(
    import.meta.resolve("@cardamomglade/stand-ins/main"),
  ),
  "byte-pipe": fileURLToPath(new URL("../bytePipe.js", import.meta.url)),
  cardamomglade: fileURLToPath(import.meta.resolve("cardamomglade/main")),
};

/** A process of one of the scripts. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: keyof typeof scripts;
  readonly args: readonly string[];
  /** Environment variables added to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

/** A Node.js process with any arguments. */
export interface NodeProcessOptions {
  readonly name: string;
  readonly args: readonly string[];
  readonly folder?: string;
  /** Environment variables added to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Whether standard error is read into `lastOutput`; else it is that of this process. */
  readonly readsStandardError?: boolean;
}

const startTimeoutMs = 30_000; // on a busy machine even an empty process takes seconds to start
const pollIntervalMs = 10;
const lastOutputLineCount = 30;

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

/** Calls `onLine` with each line that a process prints. */
const readLines = (
  input: NodeJS.ReadableStream | null,
  onLine: (line: string) => void,
): void => {
  if (input !== null) createInterface({ input }).on("line", onLine);
};

const collectOutput = (child: ChildProcess) => {
  const lines: Record<string, unknown>[] = [];
  const lastOutput: string[] = [];
  const keep = (line: string) => {
    lastOutput.push(line);
    if (lastOutput.length > lastOutputLineCount) lastOutput.shift();
  };
  readLines(child.stdout, (line) => {
    keep(line);
    if (line.startsWith("{"))
      lines.push(JSON.parse(line) as Record<string, unknown>);
  });
  readLines(child.stderr, keep);
  return { lines, lastOutput };
};

/** Starts a Node.js process. */
export const startNodeProcess = ({
  name,
  args,
  folder,
  env,
  readsStandardError = false,
}: NodeProcessOptions): StartedProcess => {
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", readsStandardError ? "pipe" : "inherit"],
    env: { ...process.env, ...env },
    ...(folder === undefined ? {} : { cwd: folder }),
  });
  const exited = new Promise<ProcessEnd>((resolve) =>
    child.once("close", (code, signal) => {
      resolve({ code, signal });
    }),
  );
  const stop = async (graceMs = 5000) => {
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), graceMs);
    const end = await exited;
    clearTimeout(timer);
    return end;
  };
  return {
    name,
    pid: child.pid ?? 0,
    ...collectOutput(child),
    exited,
    stop,
    signal: (signal) => child.kill(signal),
  };
};

/** Starts a process of a script; its standard error is that of this process. */
export const startProcess = ({
  script,
  args,
  ...others
}: ProcessOptions): StartedProcess =>
  startNodeProcess({ ...others, args: [scripts[script], ...args] });

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
