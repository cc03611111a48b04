// Keeps two builds in one folder from doing the same thing at once.
import {
  linkSync,
  mkdirSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import path from "node:path";

const pollMs = 200;
const maxHoldMs = 600_000; // beyond this its process was of another machine

const sleep = (ms) =>
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);

const isAlive = (pid) => {
  try {
    process.kill(pid, 0);
    return true;
  } catch (err) {
    return err.code === "EPERM";
  }
};

/** Whether the lock's process has ended; false if there is no lock any more. */
const isAbandoned = (file) => {
  try {
    const pid = Number(readFileSync(file, "utf8"));
    return !isAlive(pid) || Date.now() - statSync(file).mtimeMs > maxHoldMs;
  } catch (err) {
    if (err.code === "ENOENT") return false;
    throw err;
  }
};

/** Takes the lock; a link comes into being with its content. */
const tryTake = (file) => {
  const own = `${file}.${process.pid}`;
  writeFileSync(own, `${process.pid}`);
  try {
    linkSync(own, file);
    return true;
  } catch (err) {
    if (err.code !== "EEXIST") throw err;
    return false;
  } finally {
    rmSync(own);
  }
};

/** Runs an action while no other process on this machine runs one with the same file. */
export const withLock = (file, action) => {
  mkdirSync(path.dirname(file), { recursive: true });
  while (!tryTake(file)) {
    if (isAbandoned(file)) rmSync(file, { force: true });
    else sleep(pollMs);
  }
  try {
    return action();
  } finally {
    rmSync(file, { force: true });
  }
};
