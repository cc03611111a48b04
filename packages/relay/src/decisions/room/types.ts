/** Types of the room for requests at an engine. */

/** What a request takes from an engine, in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  /** Prompt and longest answer: the memory that it may come to need. */
  readonly totalTokens: number;
}

/** What an engine can take now, as far as this router knows. */
export interface EngineRoom {
  /** Places that are free; below 0 if more requests wait than there are. */
  readonly freeSlots: number;
  /** KV cache tokens that neither are used nor will be by the requests that are there. */
  readonly freeTokens: number;
  /** Requests whose prompts are read before that of a new one. */
  readonly prefilling: number;
  /** Requests that generate their answer. */
  readonly decoding: number;
}
