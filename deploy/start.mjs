// Starts the relay from its code cache: compiling takes a third of a start's processor time.
import "./surviveSignals.mjs";
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import path from "node:path";
import { Script } from "node:vm";
import { digestOfProgram, openCache } from "./codeCache.mjs";
import { wrapProgram } from "./wrapProgram.mjs";

const logLevels = { warn: 40, error: 50 };

const ignoreWriteError = () => undefined;

// The relay's log is loaded with the relay; this writes the same format, and as there a full disk or a
// closed pipe ends nothing.
const log = (logLevel, message, context) => {
  process.stdout.on("error", ignoreWriteError);
  const time = Date.now();
  const line = { context: { ...context, logLevel }, message, time };
  process.stdout.write(
    `${JSON.stringify({ ...line, sequence: "0", version: "2.0.0" })}\n`,
  );
};

const read = (file) => {
  try {
    return { bytes: readFileSync(file) };
  } catch (err) {
    return { reason: err.message };
  }
};

const readCache = (file, programDigest) => {
  const { bytes, reason } = read(file);
  if (!bytes) return { reason };
  const cache = openCache(bytes, programDigest);
  return cache
    ? { cache }
    : { reason: "damaged, or of another program or runtime" };
};

const compile = (filename, program, programDigest) => {
  const cacheFile = path.join(path.dirname(filename), "relay.cache");
  const { cache, reason } = readCache(cacheFile, programDigest);
  const script = new Script(wrapProgram(program), {
    filename,
    cachedData: cache,
  });
  const rejection = script.cachedDataRejected ? "rejected by V8" : reason;
  if (rejection)
    log(logLevels.warn, "starting without the code cache", {
      reason: rejection,
    });
  return script;
};

const start = (filename) => {
  const { bytes, reason } = read(filename);
  const programDigest = bytes && digestOfProgram(bytes);
  if (!programDigest) {
    log(logLevels.error, "the program cannot be started", {
      reason: reason ?? "damaged, or not of this build",
      filename,
    });
    process.exitCode = 1;
    return;
  }
  const module = { exports: {} };
  compile(filename, bytes, programDigest).runInThisContext()(
    createRequire(filename),
    module,
    module.exports,
  );
};

start(path.join(path.dirname(process.argv[1]), "relay.cjs"));
