// Starts the relay of the folder in the argument once, with settings of its own and writes the code that V8 compiled for it.
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { Server } from "node:net";
import os from "node:os";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Script } from "node:vm";
import { digestOfProgram, sealCache } from "./codeCache.mjs";
import { wrapProgram } from "./wrapProgram.mjs";

const target = path.resolve(process.argv[2]);
const filename = path.join(target, "relay.cjs");
const settleMs = 300; // until everything that a start runs has run

// The metrics port is fixed; another process may hold it.
const listen = Server.prototype.listen;
Server.prototype.listen = function () {
  return listen.call(this, 0, "127.0.0.1");
};

const folder = mkdtempSync(path.join(os.tmpdir(), "code-cache-"));
const settingsFile = path.join(folder, "settings.toml");
// Nothing answers at the store's address.
writeFileSync(
  settingsFile,
  `node_name = "cache"
ip = "127.0.0.1"
zone = "cache"
internal_port_range = [0, 0]
[listen]
front = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[platform]
address = "127.0.0.1:9"
`,
);
process.env.CARDAMOMGLADE_BOOT = settingsFile;
process.env.ROARR_LOG = "false";

const program = readFileSync(filename);
const script = new Script(wrapProgram(program), { filename });
const module = { exports: {} };
script.runInThisContext()(createRequire(filename), module, module.exports);
await sleep(settleMs);
writeFileSync(
  path.join(target, "relay.cache"),
  sealCache(script.createCachedData(), digestOfProgram(program)),
);
rmSync(folder, { recursive: true });
process.exit(0);
