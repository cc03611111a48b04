/** Continuous batching: each step makes one token for every running generation. */

import { prefixBlockHashes } from "@cardamomglade/common";
import type { EngineToken } from "@cardamomglade/schema";
import type { Faults } from "../faults.js";
import { extendDigest, makeToken, seedDigest } from "./makeToken.js";
import { PrefixCache } from "./prefixCache.js";
import type {
  EngineLedgerEntry,
  EngineOptions,
  GenerateBody,
  Generation,
} from "./types.js";

const priorityOrder = ["interactive", "standard", "batch"];
const keptFinished = 2000;
const tailChars = 256;

const rankOf = (generation: Generation): number =>
  priorityOrder.indexOf(generation.body.priority ?? "standard");

/** Runs generations; the ledger tells what was really run. */
export class Batcher {
  readonly cache: PrefixCache;
  readonly generations = new Map<string, Generation>();
  readonly ledger: EngineLedgerEntry[] = [];
  private readonly entries = new Map<string, EngineLedgerEntry>();
  private nonce = 0;
  private steps = 0;
  private stepAt = Date.now();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly options: EngineOptions,
    private readonly faults: Faults,
  ) {
    this.cache = PrefixCache.create(options.cacheBlocks);
  }

  static create(options: EngineOptions, faults: Faults): Batcher {
    const batcher = new Batcher(options, faults);
    batcher.schedule();
    return batcher;
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  start(body: GenerateBody): Generation {
    const prefix = body.continue_from ?? [];
    this.nonce += 1;
    const version =
      this.faults.peek("wrongVersion") === undefined
        ? body.version
        : `${body.version}-other`;
    const seed = seedDigest(
      body.model,
      version,
      body.adapter ?? "",
      body.prompt,
    );
    const id = `${body.request_id}.${String(body.attempt)}`;
    const generation: Generation = {
      id,
      body,
      from: prefix.length,
      nonce:
        this.options.mode === "differing"
          ? (this.nonce * 7919 + process.pid) >>> 0
          : 0,
      version,
      blocks: prefixBlockHashes(body.model, body.prompt),
      tokens: [],
      digest: prefix.reduce(extendDigest, seed),
      lastId: prefix.at(-1) ?? 0,
      tail: "",
      readyAt: Infinity,
      reader: body.reader,
      closeReader: undefined,
      listener: undefined,
      state: "queued",
      finish: undefined,
    };
    this.generations.set(id, generation);
    this.record(generation);
    this.forgetOldest();
    return generation;
  }

  cancel(id: string): boolean {
    const generation = this.generations.get(id);
    if (generation === undefined) return false;
    if (generation.state === "finished" || generation.state === "cancelled")
      return true;
    this.end(generation, "cancelled", "cancelled");
    return true;
  }

  running(): number {
    return this.inState("running").length;
  }

  queued(): number {
    return this.inState("queued").length;
  }

  private inState(state: Generation["state"]): Generation[] {
    return [...this.generations.values()].filter((one) => one.state === state);
  }

  private schedule(): void {
    const slow = this.faults.peek("slow")?.factor ?? 1;
    const trickle = this.faults.peek("trickle")?.everyMs ?? 0;
    const interval = Math.max(this.options.stepMs * slow, trickle);
    this.stepAt = Math.max(this.stepAt + interval, Date.now());
    this.timer = setTimeout(() => {
      this.step(slow);
      this.schedule();
    }, this.stepAt - Date.now());
  }

  private step(slow: number): void {
    this.admit(slow);
    if (this.faults.peek("stall") !== undefined) return;
    this.steps += 1;
    const now = Date.now();
    for (const generation of this.inState("running")) {
      if (generation.readyAt <= now) this.advance(generation);
    }
  }

  private admit(slow: number): void {
    const free = this.options.slots - this.running();
    if (free <= 0) return;
    const waiting = this.inState("queued").sort(
      (a, b) => rankOf(a) - rankOf(b),
    );
    for (const generation of waiting.slice(0, free)) {
      const missing = this.cache.store(generation.blocks);
      generation.state = "running";
      generation.readyAt =
        Date.now() + missing * this.options.prefillMsPerBlock * slow;
      this.note(generation, { prefilled: missing });
    }
  }

  private advance(generation: Generation): void {
    const offset = generation.from + generation.tokens.length;
    const token = makeToken(
      generation.digest,
      generation.nonce,
      generation.lastId,
    );
    generation.digest = extendDigest(generation.digest, token.id);
    generation.lastId = token.id;
    generation.tokens.push(token);
    generation.tail = (generation.tail + token.text).slice(-tailChars);
    this.note(generation, { token });
    const finish = finishOf(generation, offset + 1);
    const shift = this.faults.peek("wrongOffset") === undefined ? 0 : 3;
    generation.listener?.([token], offset + shift, finish);
    if (finish !== undefined) this.end(generation, "finished", finish);
  }

  private end(
    generation: Generation,
    state: "finished" | "cancelled",
    finish: string,
  ): void {
    generation.state = state;
    generation.finish = finish;
    const entry = this.entries.get(generation.id);
    if (entry !== undefined) entry.state = state;
  }

  private record(generation: Generation): void {
    const entry: EngineLedgerEntry = {
      requestId: generation.body.request_id,
      attempt: generation.body.attempt,
      model: generation.body.model,
      version: generation.version,
      from: generation.from,
      prefix: generation.body.continue_from ?? [],
      prefixDigest: generation.digest,
      startedAt: Date.now(),
      prefilled: 0,
      tokens: [],
      text: "",
      state: "running",
    };
    this.ledger.push(entry);
    this.entries.set(generation.id, entry);
  }

  private note(
    generation: Generation,
    what: { prefilled: number } | { token: EngineToken },
  ): void {
    const entry = this.entries.get(generation.id);
    if (entry === undefined) return;
    if ("prefilled" in what) {
      this.entries.set(
        generation.id,
        Object.assign(entry, { prefilled: what.prefilled }),
      );
      return;
    }
    entry.tokens.push(what.token.id);
    entry.text += what.token.text;
  }

  private forgetOldest(): void {
    if (this.generations.size <= keptFinished) return;
    for (const [id, { state }] of this.generations) {
      if (state === "finished" || state === "cancelled")
        this.generations.delete(id);
      if (this.generations.size <= keptFinished) return;
    }
  }
}

const finishOf = (
  generation: Generation,
  length: number,
): string | undefined => {
  const stops = generation.body.stop ?? [];
  if (stops.some((stop) => generation.tail.includes(stop))) return "stop";
  return length >= generation.body.max_tokens ? "length" : undefined;
};
