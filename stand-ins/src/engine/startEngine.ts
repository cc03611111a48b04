/** Stand-in for an inference engine: its HTTP API over a simulated batcher. */

import type { ServerResponse } from "node:http";
import {
  sendJson,
  startServer,
  type Call,
  type StandInServer,
} from "../httpServer.js";
import type { Faults } from "../faults.js";
import type {
  EngineToken,
  LoadedModel,
  LoadReport,
} from "@cardamomglade/schema";
import { Batcher } from "./batcher.js";
import type { EngineOptions, GenerateBody, Generation } from "./types.js";

interface Order {
  readonly fencing: number;
  readonly type: "load" | "unload" | "role";
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
}

interface EngineContext {
  readonly options: EngineOptions;
  readonly faults: Faults;
  readonly batcher: Batcher;
  loaded: LoadedModel[];
  fencing: number;
  role: string;
  readonly orders: Order[];
  readonly reports: LoadReport[];
}

const maxReportCount = 200;
const reportIntervalMs = 50;

const isLoaded = (engine: EngineContext, body: GenerateBody): boolean =>
  engine.loaded.some(
    (one) =>
      one.model === body.model &&
      one.version === body.version &&
      (one.adapter ?? "") === (body.adapter ?? ""),
  );

const chunkOf = (
  generation: Generation,
  tokens: readonly EngineToken[],
  offset: number,
  finish?: string,
): string => {
  const { id, body, version } = generation;
  const reason = finish === undefined ? {} : { finish_reason: finish };
  return `data: ${JSON.stringify({ id, model: body.model, version, offset, tokens, ...reason })}\n\n`;
};

const streamTo = (
  generation: Generation,
  res: ServerResponse,
  from: number,
): void => {
  res.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  res.flushHeaders();
  generation.closeReaderConnection?.();
  generation.closeReaderConnection = () => res.destroy();
  const endIfFinished = (finish: string | undefined) => {
    if (finish !== undefined) res.end("data: [DONE]\n\n");
  };
  const bufferedTokens = generation.tokens.slice(from - generation.from);
  if (bufferedTokens.length > 0 || generation.finish !== undefined) {
    res.write(chunkOf(generation, bufferedTokens, from, generation.finish));
  }
  endIfFinished(generation.finish);
  generation.listener = (tokens, offset, finish) => {
    res.write(chunkOf(generation, tokens, offset, finish));
    endIfFinished(finish);
  };
};

const generate = (engine: EngineContext, call: Call): boolean => {
  const body = JSON.parse(call.body) as GenerateBody;
  if (!isLoaded(engine, body)) {
    sendJson(call.res, 404, {
      error: `model ${body.model} version ${body.version} is not loaded`,
    });
    return true;
  }
  const generation = engine.batcher.start(body);
  streamTo(generation, call.res, generation.from);
  return true;
};

const streamCall = (engine: EngineContext, call: Call): boolean => {
  const id = decodeURIComponent(call.path.slice("/v1/streams/".length));
  const reader = call.query.get("reader") ?? undefined;
  if (call.method === "DELETE") {
    const newestReader = engine.batcher.generations.get(id)?.reader;
    if (
      reader !== undefined &&
      newestReader !== undefined &&
      reader !== newestReader
    ) {
      sendJson(call.res, 409, { error: `stream ${id} has another reader` });
      return true;
    }
    const isKnown = engine.batcher.cancel(id);
    sendJson(call.res, isKnown ? 200 : 404, { id });
    return true;
  }
  const generation = engine.batcher.generations.get(id);
  const offset = Number(call.query.get("offset") ?? 0);
  if (
    generation === undefined ||
    offset < generation.from ||
    offset > generation.from + generation.tokens.length
  ) {
    sendJson(call.res, 404, {
      error: `no stream ${id} at offset ${String(offset)}`,
    });
    return true;
  }
  generation.reader = reader;
  streamTo(generation, call.res, offset);
  return true;
};

const isSameModel = (a: LoadedModel, order: Order): boolean =>
  a.model === order.model &&
  a.version === order.version &&
  (a.adapter ?? "") === (order.adapter ?? "");

const applyOrder = (engine: EngineContext, order: Order): void => {
  engine.orders.push(order);
  engine.fencing = Math.max(engine.fencing, order.fencing);
  if (order.type === "role") engine.role = order.role ?? engine.role;
  if (order.type === "unload")
    engine.loaded = engine.loaded.filter((one) => !isSameModel(one, order));
  if (
    order.type === "load" &&
    order.model !== undefined &&
    order.version !== undefined
  ) {
    const adapter =
      order.adapter === undefined ? {} : { adapter: order.adapter };
    engine.loaded = [
      ...engine.loaded.filter((one) => !isSameModel(one, order)),
      { model: order.model, version: order.version, ...adapter },
    ];
  }
};

const orderCall = (engine: EngineContext, call: Call): boolean => {
  const order = JSON.parse(call.body) as Order;
  const checks = (engine.faults.peek("fencing")?.mode ?? "check") === "check";
  if (checks && order.fencing < engine.fencing) {
    sendJson(call.res, 409, {
      error: "old fencing number",
      fencing: engine.fencing,
    });
    return true;
  }
  applyOrder(engine, order);
  sendJson(call.res, 200, { loaded: engine.loaded, role: engine.role });
  return true;
};

const currentLoad = (engine: EngineContext): LoadReport => ({
  at: Date.now(),
  running: engine.batcher.running(),
  queued: engine.batcher.queued(),
  slots: engine.options.slots,
  loaded: engine.loaded,
});

const delayedLoad = (engine: EngineContext): LoadReport => {
  const latestAtMs = Date.now() - (engine.faults.peek("reportLag")?.byMs ?? 0);
  return (
    engine.reports.findLast((report) => report.at <= latestAtMs) ??
    engine.reports[0] ??
    currentLoad(engine)
  );
};

const cacheCall = (engine: EngineContext, call: Call): boolean => {
  const since = Number(call.query.get("since") ?? 0);
  const lagMs = engine.faults.peek("reportLag")?.byMs ?? 0;
  const every = engine.faults.peek("cacheGaps")?.every ?? 0;
  const events = engine.batcher.cache.eventsSince(since, lagMs);
  const sent =
    every === 0
      ? events
      : events.filter(({ sequence }) => sequence % every !== 0);
  sendJson(call.res, 200, {
    events: sent,
    next: (events.at(-1)?.sequence ?? since - 1) + 1,
  });
  return true;
};

const handle = (engine: EngineContext, call: Call): boolean => {
  if (call.path.startsWith("/v1/streams/")) return streamCall(engine, call);
  switch (call.path) {
    case "/v1/completions":
      return generate(engine, call);
    case "/orders":
      return orderCall(engine, call);
    case "/load":
      sendJson(call.res, 200, delayedLoad(engine));
      return true;
    case "/cache-events":
      return cacheCall(engine, call);
    case "/health":
      sendJson(call.res, 200, { status: "ok" });
      return true;
    case "/ledger":
      sendJson(call.res, 200, {
        generations: engine.batcher.ledger,
        orders: engine.orders,
      });
      return true;
    default:
      return false;
  }
};

/** Starts an engine; port 0 takes a free one. */
export const startEngine = async (
  port: number,
  options: EngineOptions,
): Promise<StandInServer> => {
  let engine: EngineContext | undefined;
  const server = await startServer(port, (faults) => {
    const batcher = Batcher.create(options, faults);
    const context: EngineContext = {
      options,
      faults,
      batcher,
      loaded: [...options.loaded],
      fencing: 0,
      role: "serve",
      orders: [],
      reports: [],
    };
    engine = context;
    return (call) => handle(context, call);
  });
  const timer = setInterval(() => {
    if (engine === undefined) return;
    engine.reports.push(currentLoad(engine));
    if (engine.reports.length > maxReportCount) engine.reports.shift();
  }, reportIntervalMs);
  return {
    ...server,
    close: async () => {
      clearInterval(timer);
      engine?.batcher.stop();
      await server.close();
    },
  };
};
