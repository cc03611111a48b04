/** One request to one replica, on a connection of its own. */

import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { now } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import {
  AttemptFailure,
  type AnswerHead,
  type StreamEvent,
  type WholeAnswer,
} from "../decisions/types.js";
import {
  misdirectedStatus,
  type ReplicaProtocol,
  addressText,
} from "../types.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import { EventSplitter } from "./eventSplitter.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** What a call reports; nothing follows the last one. */
export type CallNews =
  | { readonly type: "answered"; readonly answer: WholeAnswer }
  | { readonly type: "streamBegan"; readonly head: AnswerHead }
  | { readonly type: "eventsArrived"; readonly events: readonly StreamEvent[] }
  | { readonly type: "streamEnded" }
  | {
      readonly type: "attemptFailed";
      readonly failure: AttemptFailure;
      readonly detail: string;
    };

// A living replica accepts within a round trip and its own handshake; a dark one never does.
const connectTimeoutMs = 250;
const maxAnswerBytes = 16 * 1024 * 1024; // of an answer that is checked as a whole

const nothingDropped: ReadonlySet<string> = new Set();
const framing: ReadonlySet<string> = new Set(["content-length"]);

const leastUrgent = 9;

const urgencyOf = (priority: number): string =>
  String(Math.min(leastUrgent, Math.max(0, Math.round(priority))));

/** Headers that the relay adds to the caller's. */
const addedHeaders = (
  { headers: names, copyName }: ReplicaProtocol,
  command: SendCommand,
): string[] => {
  const { attempt, customer, priority, deadline, lastEventId } = command;
  const asked = command.request;
  const leftMs = Math.max(1, Math.floor(deadline - now()));
  const added = [
    names.expectedReplica,
    attempt.replica.id,
    names.budgetMs,
    String(leftMs),
  ];
  if (customer !== undefined) added.push(names.customer, customer);
  if (priority !== undefined) added.push(names.urgency, urgencyOf(priority));
  if (lastEventId !== undefined)
    added.push(names.lastEventId, String(lastEventId));
  const { copyTo, start } = attempt;
  if (copyTo !== undefined) added.push(names.copyTo, addressText(copyTo));
  if (start.type === "copy")
    added.push(
      names.continueFrom,
      copyName(start.copy.source, start.copy.handle),
    );
  if (asked.body.length > 0 || asked.hasBody)
    added.push("content-length", String(asked.body.length));
  return added;
};

/** Whether an answer says where it ends; any other ends with its connection, and a reset cuts it. */
const isFramed = ({ headers }: IncomingMessage): boolean =>
  headers["content-length"] !== undefined ||
  headers["transfer-encoding"] !== undefined;

/** A call under way. */
export class ReplicaCall {
  private readonly req: ClientRequest;
  private isOver = false;
  private isConnected = false;
  private res: IncomingMessage | undefined;

  private constructor(
    private readonly protocol: ReplicaProtocol,
    private readonly command: SendCommand,
    private readonly onNews: (news: CallNews) => void,
  ) {
    const { attempt, request: asked } = command;
    this.req = request({
      host: attempt.replica.host,
      port: attempt.replica.port,
      method: asked.method,
      path: asked.target,
      headers: [...asked.headers, ...addedHeaders(protocol, command)],
      agent: false,
    });
    const connectTimer = setTimeout(() => {
      this.fail(AttemptFailure.NotSent, "no connection in time");
    }, connectTimeoutMs);
    this.req.on("socket", (socket) => {
      socket.once("connect", () => {
        clearTimeout(connectTimer);
        this.isConnected = true;
      });
    });
    this.req.on("error", (error) => {
      clearTimeout(connectTimer);
      this.onError(error);
    });
    this.req.on("response", (res) => {
      this.res = res;
      this.read(res);
    });
    this.req.end(asked.body);
  }

  static create(
    protocol: ReplicaProtocol,
    command: SendCommand,
    onNews: (news: CallNews) => void,
  ): ReplicaCall {
    return new ReplicaCall(protocol, command, onNews);
  }

  /** Closes the connection; nothing is reported any more. */
  abandon(): void {
    this.isOver = true;
    this.req.destroy();
  }

  private onError(error: Error): void {
    // Bytes after a whole answer belong to no request; the answer itself stands.
    if (this.res?.complete === true && isFramed(this.res)) return;
    const failure = this.isConnected
      ? AttemptFailure.Broken
      : AttemptFailure.NotSent;
    this.fail(failure, error.message);
  }

  private tell(news: CallNews): void {
    if (!this.isOver) this.onNews(news);
  }

  private fail(failure: AttemptFailure, detail: string): void {
    this.tell({ type: "attemptFailed", failure, detail });
    this.abandon();
  }

  private headOf(res: IncomingMessage): AnswerHead {
    const { headers: names } = this.protocol;
    const status = res.statusCode ?? 0;
    const seal = res.headers[names.seal];
    return {
      status,
      headers: forwardableHeaders(res.rawHeaders, nothingDropped),
      seal: typeof seal === "string" ? seal : undefined,
      isStream:
        status === 200 &&
        (res.headers["content-type"] ?? "").startsWith("text/event-stream"),
      isFramed: isFramed(res),
      isNotRun:
        res.headers[names.notRun] !== undefined || status === misdirectedStatus,
    };
  }

  /** Why the head cannot be that of the answer to this request, or undefined. */
  private faultOf(res: IncomingMessage, head: AnswerHead): string | undefined {
    if (head.isNotRun) return undefined;
    const { requestId } = this.command.request;
    const echoed = res.headers[this.protocol.headers.requestId];
    if (requestId !== "" && echoed !== requestId)
      return "the answer names another request";
    if (res.headers["content-encoding"] !== undefined)
      return "the answer is encoded";
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && head.seal === undefined) return "the answer is not sealed";
    return undefined;
  }

  private read(res: IncomingMessage): void {
    const head = this.headOf(res);
    const fault = this.faultOf(res, head);
    if (fault !== undefined) {
      this.fail(AttemptFailure.Malformed, fault);
      return;
    }
    if (head.isStream) this.readStream(res, head);
    else this.readWhole(res, head);
  }

  private readWhole(res: IncomingMessage, head: AnswerHead): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    res.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxAnswerBytes)
        this.fail(AttemptFailure.Malformed, "the answer is too long");
    });
    this.whenRead(res, () => {
      const answer = { head, body: Buffer.concat(chunks) };
      this.tell({ type: "answered", answer });
    });
  }

  private readStream(res: IncomingMessage, head: AnswerHead): void {
    const splitter = EventSplitter.create();
    const headers = forwardableHeaders(head.headers, framing);
    this.tell({ type: "streamBegan", head: { ...head, headers } });
    res.on("data", (chunk: Buffer) => {
      const { events, error } = splitter.push(chunk);
      if (events.length > 0) this.tell({ type: "eventsArrived", events });
      if (error !== undefined)
        this.fail(AttemptFailure.Malformed, error.message);
    });
    this.whenRead(res, () => {
      if (splitter.hasRest())
        this.fail(AttemptFailure.Broken, "the stream ended within an event");
      else this.tell({ type: "streamEnded" });
    });
  }

  private whenRead(res: IncomingMessage, onEnd: () => void): void {
    res.on("error", (error) => {
      this.onError(error);
    });
    res.on("end", () => {
      if (!res.complete) {
        this.fail(AttemptFailure.Broken, "the answer ended early");
        return;
      }
      onEnd();
      this.abandon();
    });
  }
}
