/** Types of the caller library. */

/** What to generate, and at which routers. */
export interface GenerateOptions {
  /** Base URLs of routers, tried in turn. */
  readonly routers: readonly string[];
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
}

/** One part of an answer; the last one says why the answer ended. */
export interface AnswerPart {
  readonly text: string;
  readonly tokenIds: readonly number[];
  readonly finishReason: string | undefined;
}

/** Why an answer could not be completed. */
export interface CallerFailure {
  readonly type: string;
  readonly message: string;
  readonly ran: string;
}

/** Thrown by the iterator of an answer that could not be completed. */
export class CallerError extends Error {
  private constructor(readonly failure: CallerFailure) {
    super(failure.message);
  }

  static create(failure: CallerFailure): CallerError {
    return new CallerError(failure);
  }
}
