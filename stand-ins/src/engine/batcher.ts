/** Continuous batching: each step decodes one token for every running generation. */

import { prefixBlockHashes } from "@cardamomglade/common/prefixBlockHashes";
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
const maxGenerationCount = 2000;
const tailCharCount = 256;

const priorityRankOf = (generation: Generation): number =>
  priorityOrder.indexOf(generation.body.priority ?? "standard");

/** Queues, batches and runs generations; the ledger records what was generated. */
export class Batcher {
  readonly cache: PrefixCache;
  readonly generations = new Map<string, Generation>();
  readonly ledger: EngineLedgerEntry[] = [];
  private readonly entries = new Map<string, EngineLedgerEntry>();
  private nonce = 0;
  private steps = 0;
  private nextStepAtMs = Date.now();
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
      prefillEndsAtMs: Infinity,
      reader: body.reader,
      closeReaderConnection: undefined,
      listener: undefined,
      state: "queued",
      finish: undefined,
    };
    this.generations.set(id, generation);
    this.addLedgerEntry(generation);
    this.evictEnded();
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
    return this.generationsIn("running").length;
  }

  queued(): number {
    return this.generationsIn("queued").length;
  }

  private generationsIn(state: Generation["state"]): Generation[] {
    return [...this.generations.values()].filter(
      (generation) => generation.state === state,
    );
  }

  private schedule(): void {
    const slowFactor = this.faults.peek("slow")?.factor ?? 1;
    const trickleMs = this.faults.peek("trickle")?.everyMs ?? 0;
    const intervalMs = Math.max(this.options.stepMs * slowFactor, trickleMs);
    this.nextStepAtMs = Math.max(this.nextStepAtMs + intervalMs, Date.now());
    this.timer = setTimeout(() => {
      this.step(slowFactor);
      this.schedule();
    }, this.nextStepAtMs - Date.now());
  }

  private step(slowFactor: number): void {
    this.admit(slowFactor);
    if (this.faults.peek("stall") !== undefined) return;
    this.steps += 1;
    const now = Date.now();
    for (const generation of this.generationsIn("running")) {
      if (generation.prefillEndsAtMs <= now) this.decodeNextToken(generation);
    }
  }

  private admit(slowFactor: number): void {
    const freeSlotCount = this.options.slots - this.running();
    if (freeSlotCount <= 0) return;
    const waiting = this.generationsIn("queued").sort(
      (a, b) => priorityRankOf(a) - priorityRankOf(b),
    );
    for (const generation of waiting.slice(0, freeSlotCount)) {
      const uncachedCount = this.cache.store(generation.blocks);
      generation.state = "running";
      generation.prefillEndsAtMs =
        Date.now() +
        uncachedCount * this.options.prefillMsPerBlock * slowFactor;
      this.updateLedgerEntry(generation, { prefilled: uncachedCount });
    }
  }

  private decodeNextToken(generation: Generation): void {
    const offset = generation.from + generation.tokens.length;
    const token = makeToken(
      generation.digest,
      generation.nonce,
      generation.lastId,
    );
    generation.digest = extendDigest(generation.digest, token.id);
    generation.lastId = token.id;
    generation.tokens.push(token);
    generation.tail = (generation.tail + token.text).slice(-tailCharCount);
    this.updateLedgerEntry(generation, { token });
    const finish = finishReasonOf(generation, offset + 1);
    const offsetError = this.faults.peek("wrongOffset") === undefined ? 0 : 3;
    generation.listener?.([token], offset + offsetError, finish);
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

  private addLedgerEntry(generation: Generation): void {
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

  private updateLedgerEntry(
    generation: Generation,
    update: { prefilled: number } | { token: EngineToken },
  ): void {
    const entry = this.entries.get(generation.id);
    if (entry === undefined) return;
    if ("prefilled" in update) {
      this.entries.set(
        generation.id,
        Object.assign(entry, { prefilled: update.prefilled }),
      );
      return;
    }
    entry.tokens.push(update.token.id);
    entry.text += update.token.text;
  }

  private evictEnded(): void {
    if (this.generations.size <= maxGenerationCount) return;
    for (const [id, { state }] of this.generations) {
      if (state === "finished" || state === "cancelled")
        this.generations.delete(id);
      if (this.generations.size <= maxGenerationCount) return;
    }
  }
}

const finishReasonOf = (
  generation: Generation,
  length: number,
): string | undefined => {
  const stops = generation.body.stop ?? [];
  if (stops.some((stop) => generation.tail.includes(stop))) return "stop";
  return length >= generation.body.max_tokens ? "length" : undefined;
};
