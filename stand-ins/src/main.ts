/** Command line of the stand-ins; each process runs one. */

import { cac } from "cac";
import type { LoadedModel } from "@cardamomglade/schema";
import {
  startEngine,
  startHostList,
  startKeyValue,
  startService,
  startWeightStore,
} from "./index.js";
import type { StandInServer } from "./httpServer.js";
import type { TokenMode } from "./engine/types.js";

interface Flags {
  port: number;
  name: string;
  mode: TokenMode;
  stepMs: number;
  slots: number;
  prefillMs: number;
  cacheBlocks: number;
  memoryBytes: number;
  loaded: string;
  bytesPerSecond: number;
  weights: string;
}

const parseLoaded = (text: string): LoadedModel[] =>
  text
    .split(",")
    .filter((part) => part !== "")
    .map((part) => {
      const [model = "", version = "", adapter] = part.split(":");
      return { model, version, ...(adapter === undefined ? {} : { adapter }) };
    });

const start = async (kind: string, flags: Flags): Promise<StandInServer> => {
  switch (kind) {
    case "key-value":
      return startKeyValue(flags.port);
    case "engine":
      return startEngine(flags.port, {
        name: flags.name,
        mode: flags.mode,
        stepMs: flags.stepMs,
        slots: flags.slots,
        prefillMsPerBlock: flags.prefillMs,
        cacheBlocks: flags.cacheBlocks,
        memoryBytes: flags.memoryBytes,
        loaded: parseLoaded(flags.loaded),
      });
    case "service":
      return startService(flags.port);
    case "hosts":
      return startHostList(flags.port);
    case "weights":
      return startWeightStore(
        flags.port,
        flags.bytesPerSecond,
        flags.weights === "" ? undefined : parseLoaded(flags.weights),
      );
    default:
      throw new Error(
        `unknown stand-in "${kind}"; known are key-value, engine, service, hosts, weights`,
      );
  }
};

// The parser passes a repeated flag as an array.
const rejectRepeatedFlags = (flags: Flags): void => {
  for (const [name, value] of Object.entries(flags))
    if (name !== "--" && Array.isArray(value))
      throw new Error(`flag "--${name}" is given more than once`);
};

const cli = cac("stand-in");
cli
  .command(
    "<kind>",
    "Start a stand-in: key-value, engine, service, hosts or weights",
  )
  .option("--port <port>", "Port on 127.0.0.1; 0 takes a free one", {
    default: 0,
  })
  .option("--name <name>", "Name in messages", { default: "stand-in" })
  .option("--mode <mode>", "Engine: deterministic or differing", {
    default: "deterministic",
  })
  .option("--step-ms <ms>", "Engine: duration of one batch step", {
    default: 20,
  })
  .option("--slots <count>", "Engine: concurrent generations", { default: 32 })
  .option(
    "--prefill-ms <ms>",
    "Engine: prefill time per uncached prompt block",
    {
      default: 5,
    },
  )
  .option(
    "--cache-blocks <count>",
    "Engine: capacity of the prompt block cache",
    {
      default: 2048,
    },
  )
  .option("--memory-bytes <bytes>", "Engine: memory for weights, in bytes", {
    default: 1e12,
  })
  .option(
    "--loaded <list>",
    "Engine: model:version[:adapter], separated by commas",
    { default: "" },
  )
  .option("--weights <list>", "Weights: stored, model:version[:adapter]", {
    default: "",
  })
  .option("--bytes-per-second <rate>", "Weights: transfer rate", {
    default: 1e9,
  })
  .action(async (kind: string, flags: Flags) => {
    rejectRepeatedFlags(flags);
    const server = await start(kind, flags);
    console.log(JSON.stringify({ standIn: kind, url: server.url }));
  });
cli.help();
cli.parse();
