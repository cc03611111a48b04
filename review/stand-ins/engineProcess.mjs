/** Starts model replicas as processes, and writes their entries in the store. */

import readline from "node:readline";
import { fileURLToPath } from "node:url";

const script = fileURLToPath(new URL("engine.mjs", import.meta.url));
const slotCount = 48;

/** A model replica in a process of its own. */
export class EngineProcess {
  sequence = 0;
  events = [];

  /** Starts it and registers it as ready; `addressOf` puts something before its port. */
  static async start(deployment, options) {
    const { id, firstMs, gapMs, eventCount, framing, addressOf } = options;
    const engine = new EngineProcess();
    engine.id = id;
    engine.zone = options.zone;
    engine.version = options.version;
    engine.store = deployment.store;
    engine.child = deployment.spawn(
      process.execPath,
      [script, id, String(firstMs), String(gapMs), String(eventCount), framing],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    await new Promise((resolve) => {
      readline.createInterface(engine.child.stdout).on("line", (line) => {
        const event = JSON.parse(line);
        engine.events.push({ ...event, at: Date.now() });
        if (event.type === "listening") {
          engine.port = event.port;
          engine.bornAt = event.bornAt;
          resolve();
          return;
        }
        const { type, attempt } = event;
        if (type === "run")
          deployment.record(`${id} runs ${attempt} from ${event.from}`);
        else
          deployment.record(`${id} ends ${attempt} behind event ${event.made}`);
      });
    });
    engine.address = (await addressOf?.(engine)) ?? `127.0.0.1:${engine.port}`;
    engine.register("ready");
    return engine;
  }

  register(state) {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: "bahce-model",
      address: this.address,
      zone: this.zone,
      version: this.version ?? "v1",
      slot_count: slotCount,
      state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.bornAt,
    });
  }
}

/** The model service without copies of KV caches. */
export const modelService = {
  name: "bahce-model",
  health_check: "/health",
  max_connections: 300,
  protocol: "h1",
  tls: false,
  inference_engine: {
    slot_count: slotCount,
    kv_capacity_tokens: 88_000,
    kv_token_bytes: 327_680,
    link_mbps: 230_000.0,
    moves: true,
    backups: false,
    stride: 9,
    most: 12,
    pin_ms: 4000.0,
    hold_ms: 2000.0,
    handle_s: 4.0,
    models: [{ name: "m" }],
  },
};
