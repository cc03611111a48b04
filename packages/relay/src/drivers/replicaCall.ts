/** One request to one replica, or to a router that takes it over, on its own connection. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import {
  awaitConnectionEnd,
  ConnectionEnd,
  holdUploadEnd,
  now,
} from "@cardamomglade/common";
import type { RetryAfter } from "../decisions/backOff/types.js";
import type { RelayCommand } from "../decisions/commands.js";
import { isBodiless } from "../decisions/answerEnds/isBodiless.js";
import { progressBytes } from "../decisions/constants.js";
import {
  AttemptFailure,
  BodyFraming,
  type AnsweringReplica,
  type HandedBack,
  type ResponseHead,
  type StreamEvent,
  type BufferedResponse,
} from "../decisions/types.js";
import {
  misdirectedRequestStatus,
  type ReplicaProtocol,
  formatAddress,
  type Address,
} from "../types.js";
import { AnswerBuffer } from "./answerBuffers.js";
import { lengthOf } from "./lengthOf.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import { EventSplitter } from "./eventSplitter.js";
import { memoryBudget } from "./memory/memoryBudget.js";
import { retryAfterOf } from "./retryAfter.js";
import { watchBody } from "./watchBody.js";
import {
  decodeAnswerOrigin,
  decodeRefusal,
  encodeHandover,
  handoverHeaders,
  type AnswerOrigin,
} from "./handover/handoverHeaders.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;
type HandOnCommand = Extract<RelayCommand, { readonly type: "handOn" }>;

/** Events of a call; no event follows a response, the end of a stream or a failure. */
export type CallEvent =
  | { readonly type: "connectionOpened" }
  | { readonly type: "requestProgressed" }
  | { readonly type: "answerProgressed"; readonly isHeldBack: boolean }
  | { readonly type: "leavingAnnounced"; readonly replica: AnsweringReplica }
  | {
      readonly type: "backOffRequested";
      readonly replica: AnsweringReplica;
      readonly retryAfter: RetryAfter;
    }
  | { readonly type: "responseReceived"; readonly answer: BufferedResponse }
  | { readonly type: "streamStarted"; readonly head: ResponseHead }
  | { readonly type: "eventsArrived"; readonly events: readonly StreamEvent[] }
  | { readonly type: "streamEnded" }
  | {
      readonly type: "attemptFailed";
      readonly failure: AttemptFailure;
      readonly detail: string;
    };

// A live replica accepts a connection within a round trip and its handshake; an
// unreachable one never does.
const connectTimeoutMs = 250;

const maxInformationalCount = 16; // a server sends one or none before its response
const minFinalStatus = 200;
const maxStatus = 599;

const msPerSecond = 1000;
const droppedHeaders: ReadonlySet<string> = new Set(
  Object.values(handoverHeaders),
);
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

const lowestPriority = 9;

const priorityHeaderOf = (priority: number): string =>
  String(Math.min(lowestPriority, Math.max(0, Math.round(priority))));

/** Headers that the relay adds to each request that it forwards. */
const forwardingHeaders = (
  { headers: names }: ReplicaProtocol,
  {
    request: callerRequest,
    deadline,
    lastEventId,
  }: SendCommand | HandOnCommand,
): string[] => {
  const remainingMs = Math.max(1, Math.floor(deadline - now()));
  const added = [names.timeBudgetMs, String(remainingMs)];
  if (lastEventId !== undefined)
    added.push(names.lastEventId, String(lastEventId));
  if (callerRequest.body.length > 0 || callerRequest.hasBody)
    added.push("content-length", String(callerRequest.body.length));
  return added;
};

/** Headers that the relay adds to a request for a replica. */
const replicaHeaders = (
  { headers: names, formatCopyName }: ReplicaProtocol,
  { attempt, customer, priority }: SendCommand,
): string[] => {
  const added = [names.expectedReplica, attempt.replica.id];
  if (customer !== undefined) added.push(names.customer, customer);
  if (priority !== undefined)
    added.push(names.priority, priorityHeaderOf(priority));
  const { copyTo, start } = attempt;
  if (copyTo !== undefined) added.push(names.copyTo, formatAddress(copyTo));
  if (start.type === "copy")
    added.push(
      names.continueFrom,
      formatCopyName(start.copy.source, start.copy.handle),
    );
  return added;
};

/** Headers that the relay adds to a request for another router, which finds customer and replica itself. */
const routerHeaders = ({
  request: { key },
  handover,
}: HandOnCommand): string[] => [
  handoverHeaders.request,
  encodeHandover(handover, now()),
  ...(key === undefined ? [] : ["authorization", `Bearer ${key}`]),
];

const addressOf = (command: SendCommand | HandOnCommand): Address =>
  command.type === "send" ? command.attempt.replica : command.to;

const addedHeaders = (
  protocol: ReplicaProtocol,
  command: SendCommand | HandOnCommand,
): string[] => [
  ...forwardingHeaders(protocol, command),
  ...(command.type === "send"
    ? replicaHeaders(protocol, command)
    : routerHeaders(command)),
];

/** Transfer codings of a response, in the order in which they were applied. */
const transferCodingsOf = ({ headers }: IncomingMessage): readonly string[] =>
  (headers["transfer-encoding"] ?? "")
    .split(",")
    .map((coding) => coding.trim().toLowerCase())
    .filter((coding) => coding !== "");

const framingOf = (res: IncomingMessage): BodyFraming => {
  const codings = transferCodingsOf(res);
  if (codings.at(-1) === "chunked") return BodyFraming.Chunked;
  return codings.length > 0 || res.headers["content-length"] === undefined
    ? BodyFraming.Connection
    : BodyFraming.Length;
};

/** Whether nothing but the end of the connection marks the end of a response. */
const endsWithConnection = (method: string, res: IncomingMessage): boolean =>
  framingOf(res) === BodyFraming.Connection &&
  !isBodiless(method, res.statusCode ?? 0);

const maxRequestLimitPerS = 1_000_000; // a replica that takes more has no limit

/** Decodes a limit of requests a second; undefined if it is none. */
const decodeLimit = (
  header: string | readonly string[] | undefined,
): number | undefined => {
  if (typeof header !== "string" || !/^\d+(\.\d+)?$/.test(header.trim()))
    return undefined;
  const limit = Number(header);
  return limit <= maxRequestLimitPerS ? limit : undefined;
};

const eventStreamType = "text/event-stream";

/** Media type of a response without parameters, in lower case; undefined if it names none. */
const mediaTypeOf = ({ headers }: IncomingMessage): string | undefined =>
  headers["content-type"]?.split(";")[0]?.trim().toLowerCase();

/** A call in progress. */
export class ReplicaCall {
  private readonly req: ClientRequest;
  private isOver = false;
  private isConnected = false;
  private res: IncomingMessage | undefined;
  private buffer: AnswerBuffer | undefined;

  private constructor(
    private readonly protocol: ReplicaProtocol,
    private readonly command: SendCommand | HandOnCommand,
    private readonly onEvent: (event: CallEvent) => void,
  ) {
    const { request: callerRequest } = command;
    const { host, port } = addressOf(command);
    this.req = request({
      host,
      port,
      method: callerRequest.method,
      path: callerRequest.target,
      headers: [...callerRequest.headers, ...addedHeaders(protocol, command)],
      agent: false,
    });
    const connectTimer = setTimeout(() => {
      this.fail(AttemptFailure.NotSent, "no connection in time");
    }, connectTimeoutMs);
    this.req.on("socket", (socket) => {
      socket.once("connect", () => {
        clearTimeout(connectTimer);
        this.isConnected = true;
        this.report({ type: "connectionOpened" });
      });
    });
    this.req.on("error", (error) => {
      clearTimeout(connectTimer);
      this.onError(error);
    });
    let informationalCount = 0;
    this.req.on("information", () => {
      informationalCount += 1;
      if (informationalCount > maxInformationalCount)
        this.fail(
          AttemptFailure.Malformed,
          "no end of informational responses",
        );
    });
    this.req.on("response", (res) => {
      this.res = res;
      this.read(res);
    });
    const { body } = callerRequest;
    if (body.length > progressBytes)
      watchBody(this.req, () => {
        this.report({ type: "requestProgressed" });
      });
    this.req.end(body);
  }

  /** Sends the request; undefined, and reported as not sent, if the replica's address or id is invalid. */
  static create(
    protocol: ReplicaProtocol,
    command: SendCommand | HandOnCommand,
    onEvent: (event: CallEvent) => void,
  ): ReplicaCall | undefined {
    try {
      return new ReplicaCall(protocol, command, onEvent);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const failure = AttemptFailure.NotSent;
      setImmediate(onEvent, { type: "attemptFailed", failure, detail });
      return undefined;
    }
  }

  /** Closes the connection; no more events are reported. */
  abandon(): void {
    this.isOver = true;
    this.buffer?.close();
    this.req.destroy();
  }

  /** Ends the call as not sent if its connection has not been established. */
  abandonUnconnected(): void {
    if (!this.isConnected) this.fail(AttemptFailure.NotSent, "no path");
  }

  private onError(error: Error): void {
    // Bytes after a complete response belong to no request; the response itself is valid.
    if (this.isWhole()) return;
    const failure = this.isConnected
      ? AttemptFailure.Broken
      : AttemptFailure.NotSent;
    this.fail(failure, error.message);
  }

  /** Whether the response was received whole; one that ends with its connection is truncated by a reset. */
  private isWhole(): boolean {
    const { res } = this;
    return res?.complete === true && !this.endsWithConnection(res);
  }

  private endsWithConnection(res: IncomingMessage): boolean {
    return endsWithConnection(this.command.request.method, res);
  }

  private report(event: CallEvent): void {
    if (!this.isOver) this.onEvent(event);
  }

  private fail(failure: AttemptFailure, detail: string): void {
    this.report({ type: "attemptFailed", failure, detail });
    this.abandon();
  }

  /** Whether a response is a stream of events; one that names no type is what its route says. */
  private hasEvents(res: IncomingMessage): boolean {
    const type = mediaTypeOf(res);
    return type === undefined
      ? this.command.isStreamExpected
      : type === eventStreamType;
  }

  private headOf(res: IncomingMessage): ResponseHead {
    const { headers: names } = this.protocol;
    const status = res.statusCode ?? 0;
    const seal = res.headers[names.seal];
    const origin = this.originOf(res);
    return {
      status,
      headers: forwardableHeaders(res.rawHeaders, droppedHeaders),
      seal: typeof seal === "string" ? seal : undefined,
      isStream: status === 200 && this.hasEvents(res),
      framing: origin.framing,
      isNotExecuted:
        res.headers[names.notExecuted] !== undefined ||
        status === misdirectedRequestStatus,
      requestLimitPerS: decodeLimit(res.headers[names.requestLimit]),
      answeredBy: origin.answeredBy,
      handedBack: this.handedBackOf(res),
    };
  }

  /** Whose answer it is, and how its end is found: another router says so of one that it hands back. */
  private originOf(
    res: IncomingMessage,
  ): Partial<AnswerOrigin> & Pick<AnswerOrigin, "framing"> {
    const framing = framingOf(res);
    if (this.command.type === "send")
      return { answeredBy: this.command.attempt.replica, framing };
    const header = res.headers[handoverHeaders.answer];
    const origin =
      typeof header === "string" ? decodeAnswerOrigin(header) : undefined;
    return origin ?? { framing };
  }

  /** What another router says of a request that it does not serve. */
  private handedBackOf(res: IncomingMessage): HandedBack | undefined {
    if (this.command.type === "send") return undefined;
    const header = res.headers[handoverHeaders.refusal];
    const refusal = decodeRefusal(
      typeof header === "string" ? header : undefined,
    );
    const seconds = Number(res.headers["retry-after"] ?? NaN);
    const retryAfterMs = Number.isFinite(seconds)
      ? Math.max(0, seconds * msPerSecond)
      : undefined;
    return { refusal, retryAfterMs };
  }

  /** Why the response head is invalid for this request, or undefined if it is valid. */
  private validationErrorOf(
    res: IncomingMessage,
    head: ResponseHead,
  ): string | undefined {
    if (head.status < minFinalStatus || head.status > maxStatus)
      return "the answer has no valid status";
    const { requestId } = this.command.request;
    const echoedRequestId = res.headers[this.protocol.headers.requestId];
    // A refusal may name no request, but one of another request says nothing of this one.
    const isNameRequired = echoedRequestId !== undefined || !head.isNotExecuted;
    if (requestId !== "" && isNameRequired && echoedRequestId !== requestId)
      return "the answer names another request";
    if (head.isNotExecuted) return undefined;
    if (res.headers["content-encoding"] !== undefined)
      return "the answer is encoded";
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && head.seal === undefined) return "the answer is not sealed";
    return undefined;
  }

  /** Reports a time that the replica names; another router's is for its caller. */
  private reportRetryAfter(res: IncomingMessage, status: number): void {
    const { protocol, command } = this;
    if (command.type !== "send") return;
    const { replica } = command.attempt;
    const retryAfter = retryAfterOf(protocol, status, res.headers, now());
    if (retryAfter !== undefined)
      this.report({ type: "backOffRequested", replica, retryAfter });
  }

  private read(res: IncomingMessage): void {
    const head = this.headOf(res);
    const { answeredBy } = head;
    if (
      res.headers[this.protocol.headers.leaving] !== undefined &&
      answeredBy !== undefined
    )
      this.report({ type: "leavingAnnounced", replica: answeredBy });
    this.reportRetryAfter(res, head.status);
    const validationError = this.validationErrorOf(res, head);
    if (validationError !== undefined) {
      this.fail(AttemptFailure.Malformed, validationError);
      return;
    }
    if (head.isStream) this.readStream(res, head);
    else this.readBuffered(res, head);
  }

  /** Opens the buffer of the answer; undefined if the call has failed because of its length. */
  private openBuffer(length: number | undefined): AnswerBuffer | undefined {
    this.buffer = AnswerBuffer.create(memoryBudget, {
      length,
      onProgress: (isHeldBack) => {
        this.report({ type: "answerProgressed", isHeldBack });
      },
      onOverflow: (reason) => {
        this.fail(AttemptFailure.Malformed, reason);
      },
    });
    return this.buffer;
  }

  private readBuffered(res: IncomingMessage, head: ResponseHead): void {
    const { method } = this.command.request;
    const length = isBodiless(method, head.status) ? 0 : lengthOf(res);
    const buffer = this.openBuffer(length);
    if (buffer === undefined) return;
    buffer.fill(res);
    this.onBodyEnd(res, () => {
      const answer = { head, body: buffer.take() };
      this.report({ type: "responseReceived", answer });
    });
  }

  private readStream(res: IncomingMessage, head: ResponseHead): void {
    const splitter = EventSplitter.create();
    const buffer = this.openBuffer(undefined);
    const headers = forwardableHeaders(head.headers, framingHeaders);
    this.report({ type: "streamStarted", head: { ...head, headers } });
    res.on("data", (chunk: Buffer) => {
      const { events, error } = splitter.push(chunk);
      buffer?.hold(splitter.partialBytes());
      if (events.length > 0) this.report({ type: "eventsArrived", events });
      if (error !== undefined)
        this.fail(AttemptFailure.Malformed, error.message);
    });
    this.onBodyEnd(res, () => {
      if (splitter.partialBytes() > 0)
        this.fail(AttemptFailure.Broken, "the stream ended within an event");
      else this.report({ type: "streamEnded" });
    });
  }

  private onBodyEnd(res: IncomingMessage, onEnd: () => void): void {
    if (this.endsWithConnection(res))
      holdUploadEnd(res.socket, () => this.command.request.body.length);
    const connectionEnd = this.endsWithConnection(res)
      ? awaitConnectionEnd(res.socket)
      : Promise.resolve(ConnectionEnd.Closed);
    const finish = () => {
      if (this.isOver) return;
      onEnd();
      this.abandon();
    };
    res.on("error", (error) => {
      this.onError(error);
    });
    res.on("end", () => {
      if (!res.complete) {
        this.fail(AttemptFailure.Broken, "the answer ended early");
        return;
      }
      void connectionEnd.then((end) => {
        if (end === ConnectionEnd.Closed) finish();
        else this.fail(AttemptFailure.Broken, "the connection was reset");
      });
    });
  }
}
