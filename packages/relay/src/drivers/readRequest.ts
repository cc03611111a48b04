/** Reads a caller's complete request, within the configured limits. */

import type { IncomingMessage } from "node:http";
import { now, type Timestamp } from "@cardamomglade/common";
import type {
  CallerRequest,
  HeaderNames,
  ReplicaProtocol,
  RequestLimits,
} from "../types.js";
import type { Handover } from "../decisions/handover/types.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import { decodeHandover, handoverHeaders } from "./handover/handoverHeaders.js";
import {
  createByteCollector,
  type ByteCollector,
} from "./memory/byteCollector.js";
import type { RequestMemory } from "./memory/requestMemory.js";
import { RequestFingerprint, type RequestHead } from "./requestFingerprint.js";

/** The request, or why it could not be read. */
export type RequestRead =
  | { readonly type: "complete"; readonly request: CallerRequest }
  | { readonly type: "tooLarge" }
  | { readonly type: "tooSlow" }
  | { readonly type: "aborted" }
  /** It gives way, since memory is short. */
  | { readonly type: "noRoom" }
  /** A router did not tell what it has to. */
  | { readonly type: "malformed" };

const bearer = /^Bearer +(\S+)\s*$/i;

const headerOf = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const numberOf = (text: string | undefined): number | undefined => {
  if (text === undefined || !/^\d+(\.\d+)?$/.test(text.trim()))
    return undefined;
  return Number(text);
};

const keyOf = (req: IncomingMessage): string | undefined =>
  bearer.exec(req.headers.authorization ?? "")?.[1];

/** Request headers that the relay replaces, in lower case. */
export const rewrittenHeaders = (names: HeaderNames): ReadonlySet<string> =>
  new Set([
    ...names.reserved,
    names.timeBudgetMs,
    names.lastEventId,
    ...Object.values(handoverHeaders),
    "authorization",
    "content-length",
  ]);

/** Options for reading requests. */
export interface ReadOptions {
  readonly protocol: ReplicaProtocol;
  /** Limits in force when the head arrived; the body may use them, or newer, wider ones. */
  readonly limits: RequestLimits;
  readonly currentLimits: () => RequestLimits;
  /** Headers to remove, in lower case. */
  readonly dropped: ReadonlySet<string>;
  /** Whether routers send the requests, with what they tell of them. */
  readonly isFromRouters: boolean;
  readonly memory: RequestMemory;
  /** Called before the body is read. */
  readonly onRoom: () => void;
  /** Called with bytes that were taken from the connection; false if there is no room for what follows them. */
  readonly onBytes: (bytes: number) => boolean;
}

const headOf = (req: IncomingMessage): RequestHead => ({
  hostname: req.headers.host ?? "",
  method: req.method ?? "GET",
  target: req.url ?? "/",
  key: keyOf(req),
});

/** What the router that hands the request on tells; undefined if it is malformed. */
const handoverOf = (req: IncomingMessage): Handover | undefined =>
  decodeHandover(
    headerOf(req, handoverHeaders.request) ?? "",
    req.socket.remoteAddress ?? "",
    now(),
  );

const toCallerRequest = (
  req: IncomingMessage,
  { protocol, dropped }: ReadOptions,
  arrivedAt: Timestamp,
  body: Buffer,
  fingerprint: string,
  handover: Handover | undefined,
): CallerRequest => {
  const {
    headers: names,
    decodePromptBlockIds,
    decodePromptTokens,
    decodeMaxOutputTokens,
  } = protocol;
  const promptBlockIds = decodePromptBlockIds(
    headerOf(req, names.promptBlocks) ?? "",
  );
  const tokenCounts = headerOf(req, names.tokenCounts) ?? "";
  const budgetMs = numberOf(headerOf(req, names.timeBudgetMs));
  return {
    requestId: headerOf(req, names.requestId) ?? "",
    ...headOf(req),
    fingerprint,
    headers: forwardableHeaders(req.rawHeaders, dropped),
    body,
    hasBody:
      req.headers["content-length"] !== undefined ||
      req.headers["transfer-encoding"] !== undefined,
    arrivedAt,
    callerDeadline: budgetMs === undefined ? undefined : arrivedAt + budgetMs,
    lastEventId: numberOf(headerOf(req, names.lastEventId)),
    resumes: headerOf(req, names.resumes),
    sharedPromptBlockIds: promptBlockIds.slice(0, -1),
    lastPromptBlockId: promptBlockIds.at(-1),
    promptTokens: decodePromptTokens(tokenCounts),
    maxOutputTokens: decodeMaxOutputTokens(tokenCounts),
    handover,
  };
};

/** Returns whether the head of a request names a body that is longer than allowed. */
const isTooLong = (
  req: IncomingMessage,
  { bodyBytes }: RequestLimits,
): boolean => Number(req.headers["content-length"] ?? 0) > bodyBytes;

/** Length that the head of a request names; undefined if it names none. */
const namedLengthOf = ({ headers }: IncomingMessage): number | undefined => {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
};

const chunkEndBytes = 4; // the ends of its two lines

/** Bytes that a chunk has on its connection beside its own. */
const framingOf = ({ length }: Uint8Array): number =>
  length.toString(16).length + chunkEndBytes;

interface Settle {
  readonly resolve: (read: RequestRead) => void;
  readonly reject: (error: unknown) => void;
}

/** Reads the body of a request whose head has arrived, as soon as there is room for it. */
export const readRequest = (
  req: IncomingMessage,
  options: ReadOptions,
): Promise<RequestRead> =>
  new Promise((resolve, reject) => {
    // Given up once it is used: a promise keeps its request, and the connection its listeners.
    let settle: Settle | undefined = { resolve, reject };
    const { limits, currentLimits, memory } = options;
    const maxBodyBytes = () =>
      Math.max(limits.bodyBytes, currentLimits().bodyBytes);
    const maxPauseMs = () =>
      Math.max(limits.idleTimeoutMs, currentLimits().idleTimeoutMs);
    const arrivedAt = now();
    const length = namedLengthOf(req);
    const fingerprint = RequestFingerprint.create(headOf(req));
    let collector: ByteCollector | undefined;
    let isOver = false;
    let lastBytesAt = arrivedAt;
    const checkPause = () => {
      const restMs = lastBytesAt + maxPauseMs() - now();
      if (restMs > 0) timer = setTimeout(checkPause, restMs);
      else finish({ type: "tooSlow" });
    };
    let timer = setTimeout(checkPause, limits.idleTimeoutMs);
    const finish = (read: RequestRead) => {
      clearTimeout(timer);
      isOver = true;
      collector = undefined;
      settle?.resolve(read);
      settle = undefined;
    };
    const add = (chunk: Buffer) => {
      if (isOver) return;
      lastBytesAt = now();
      collector ??= createByteCollector(length);
      if (collector.bytes + chunk.length > maxBodyBytes()) {
        finish({ type: "tooLarge" });
        return;
      }
      if (!memory.grow(collector.memoryFor(chunk))) {
        finish({ type: "noRoom" });
        return;
      }
      memory.holding.move(chunk.length);
      collector.push(chunk);
      fingerprint.add(chunk);
      const framingBytes = length === undefined ? framingOf(chunk) : 0;
      if (!options.onBytes(chunk.length + framingBytes))
        finish({ type: "noRoom" });
    };
    if (isTooLong(req, limits)) {
      finish({ type: "tooLarge" });
      return;
    }
    const handover = options.isFromRouters ? handoverOf(req) : undefined;
    if (options.isFromRouters && handover === undefined) {
      finish({ type: "malformed" });
      return;
    }
    const complete = () => {
      const request = toCallerRequest(
        req,
        options,
        arrivedAt,
        collector?.take() ?? Buffer.alloc(0),
        fingerprint.digest(),
        handover,
      );
      memory.keep();
      finish({ type: "complete", request });
    };
    req.on("end", () => {
      if (isOver) return;
      try {
        complete();
      } catch (error) {
        clearTimeout(timer);
        settle?.reject(error);
        settle = undefined;
      }
    });
    req.on("error", () => {
      finish({ type: "aborted" });
    });
    req.on("close", () => {
      finish({ type: "aborted" });
    });
    const read = () => {
      lastBytesAt = now();
      options.onRoom();
      req.on("data", add);
    };
    const onNoRoom = () => {
      finish({ type: "noRoom" });
    };
    if (length === undefined) memory.takeAsItArrives(onNoRoom, read);
    else memory.whenRoomForBody(length, { onRoom: read, onNoRoom });
  });
