/** Types of the engine stand-in. */

import type { EngineToken, LoadedModel } from "@cardamomglade/schema";

/** Whether equal requests get equal tokens, or different tokens in each generation. */
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
  /** Id of the client that reads the stream; only the latest reader may cancel it. */
  readonly reader?: string;
}

/** State of one generation. */
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
  prefillEndsAtMs: number;
  reader: string | undefined;
  closeReaderConnection: (() => void) | undefined;
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

/** Record of what the engine generated for one attempt of a request. */
export interface EngineLedgerEntry {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly from: number;
  /** Token ids that the generation continues from. */
  readonly prefix: readonly number[];
  readonly prefixDigest: number;
  readonly startedAt: number;
  readonly prefilled: number;
  tokens: number[];
  text: string;
  state: string;
}
