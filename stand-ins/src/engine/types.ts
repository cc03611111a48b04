/** Types of the engine stand-in. */

import type { EngineToken, LoadedModel } from "@cardamomglade/schema";

/** How tokens are made: alike for alike requests, or different in each generation. */
export type TokenMode = "deterministic" | "differing";

/** Options of an engine. */
export interface EngineOptions {
  readonly name: string;
  readonly mode: TokenMode;
  readonly stepMs: number;
  readonly slots: number;
  readonly prefillMsPerBlock: number;
  readonly cacheBlocks: number;
  readonly memoryBytes: number;
  readonly loaded: readonly LoadedModel[];
}

/** The body of a generation request. */
export interface GenerateBody {
  readonly request_id: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stop?: readonly string[];
  readonly priority?: string;
  readonly continue_from?: readonly number[];
  /** Names who reads the stream; only the newest reader may cancel. */
  readonly reader?: string;
}

/** One generation as it runs. */
export interface Generation {
  readonly id: string;
  readonly body: GenerateBody;
  readonly from: number;
  readonly nonce: number;
  readonly version: string;
  readonly blocks: readonly string[];
  tokens: EngineToken[];
  digest: number;
  lastId: number;
  tail: string;
  readyAt: number;
  reader: string | undefined;
  closeReader: (() => void) | undefined;
  listener:
    | ((
        tokens: readonly EngineToken[],
        offset: number,
        finish?: string,
      ) => void)
    | undefined;
  state: "queued" | "running" | "finished" | "cancelled";
  finish: string | undefined;
}

/** What was really run, by request and attempt. */
export interface EngineLedgerEntry {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly from: number;
  /** Token ids that the generation continued after. */
  readonly prefix: readonly number[];
  readonly prefixDigest: number;
  readonly startedAt: number;
  readonly prefilled: number;
  tokens: number[];
  text: string;
  state: string;
}
