/** One request to one replica, or to a router that takes it over, on its own connection. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import {
  awaitConnectionEnd,
  ConnectionEnd,
  holdUploadEnd,
  now,
} from "@cardamomglade/common";
import { isBodiless } from "../decisions/answerEnds/isBodiless.js";
import { progressBytes } from "../decisions/constants.js";
import { AttemptFailure, type ResponseHead } from "../decisions/types.js";
import type { Address, ReplicaProtocol } from "../types.js";
import { AnswerBuffer } from "./answerBuffers.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import { EventSplitter } from "./eventSplitter.js";
import { lengthOf } from "./lengthOf.js";
import { memoryBudget } from "./memory/memoryBudget.js";
import { addedHeaders } from "./replicaCalls/addedHeaders.js";
import { endsWithConnection } from "./replicaCalls/responseFraming.js";
import { responseHeadOf } from "./replicaCalls/responseHead.js";
import type {
  CallEvent,
  HandOnCommand,
  SendCommand,
} from "./replicaCalls/types.js";
import { validationErrorOf } from "./replicaCalls/validationError.js";
import { retryAfterOf } from "./retryAfter.js";
import { watchBody } from "./watchBody.js";
import { whenOverdue } from "./whenOverdue.js";

// A live replica accepts a connection within a round trip and its handshake; an
// unreachable one never does.
const connectTimeoutMs = 250;

const maxInformationalCount = 16; // a server sends one or none before its response
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

const addressOf = (command: SendCommand | HandOnCommand): Address =>
  command.type === "send" ? command.attempt.replica : command.to;

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
    const giveUpWaiting = whenOverdue(now() + connectTimeoutMs, () => {
      this.fail(AttemptFailure.NotSent, "no connection in time");
    });
    this.req.on("socket", (socket) => {
      socket.once("connect", () => {
        giveUpWaiting();
        this.isConnected = true;
        this.report({ type: "connectionOpened" });
      });
    });
    this.req.on("error", (error) => {
      giveUpWaiting();
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
    const { protocol, command } = this;
    const head = responseHeadOf(protocol, command, res);
    const { answeredBy } = head;
    if (
      res.headers[protocol.headers.leaving] !== undefined &&
      answeredBy !== undefined
    )
      this.report({ type: "leavingAnnounced", replica: answeredBy });
    this.reportRetryAfter(res, head.status);
    const { requestId } = command.request;
    const validationError = validationErrorOf(protocol, requestId, res, head);
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
