/** Types of the client library. */

/** Completion request and the routers to send it to. */
export interface GenerateOptions {
  /** Base URLs of routers, tried in order. */
  readonly routers: readonly string[];
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
}

/** One chunk of a completion; only the last has a finish reason. */
export interface AnswerChunk {
  readonly text: string;
  readonly tokenIds: readonly number[];
  readonly finishReason: string | undefined;
}

/** Error of a router, or of the client if no router could continue the completion. */
export interface CallerFailure {
  readonly type: string;
  readonly message: string;
  readonly ran: string;
}

/** Thrown by the iterator if the completion could not be finished. */
export class CallerError extends Error {
  private constructor(readonly failure: CallerFailure) {
    super(failure.message);
  }

  static create(failure: CallerFailure): CallerError {
    return new CallerError(failure);
  }
}
