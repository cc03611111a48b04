/**
 * Knows which connections of callers are idle. Load pattern: a planned stop while
 * callers send their requests and read their answers slowly. Node's own
 * `closeIdleConnections`, which `close` calls as well, counts a response as done
 * when its last byte is queued, and cuts it off.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { now, type Timestamp } from "@cardamomglade/common";
import { headBytesOf } from "./headBytes.js";
import { PipelinedRequests } from "./pipelinedRequests.js";
import { stopQueueing } from "./stopQueueing.js";

const turnsToRead = 3; // to accept a connection, to read from it, and to pass the request on
const maxShortTurnMs = 20; // what arrives in a longer turn would wait for too long to be cut off

const maxReadBytes = 64 * 1024; // that Node reads at once from a connection
const fieldFramingBytes = 4; // a colon, a space and the end of the line
const requestFramingBytes = 16; // of the first line and the last one

/** Bytes that a head has on its connection, with usual spaces. */
const sentHeadBytes = (req: IncomingMessage): number =>
  headBytesOf(req) +
  (req.method ?? "").length +
  (req.rawHeaders.length / 2) * fieldFramingBytes +
  requestFramingBytes;

/** A head, or trailers of a body, that have begun and not ended. */
export interface BegunHead {
  readonly socket: Socket;
  readonly bytes: number;
}

/** Connections of one server. */
export class OpenConnections {
  /** Bytes that each connection had received when it was last idle, and that were taken from it since. */
  private readonly idleBytes = new Map<Socket, number>();
  private readonly responses = new Map<ServerResponse, Socket>();
  /** Places of responses in the order in which their requests arrived. */
  private readonly places = new WeakMap<ServerResponse, number>();
  /** Place of the first response that closes its connection. */
  private readonly closing = new WeakMap<Socket, number>();
  private readonly pipelined = PipelinedRequests.create();
  private lastPlace = 0;
  private acceptedCount = 0;

  private constructor(
    private readonly server: Server,
    private readonly onDropped: (req: IncomingMessage) => void,
  ) {
    server.on("connection", (socket: Socket) => {
      this.acceptedCount += 1;
      this.idleBytes.set(socket, 0);
      socket.on("close", () => {
        this.idleBytes.delete(socket);
        this.closeQueued(socket);
      });
    });
  }

  static create(
    server: Server,
    onDropped: (req: IncomingMessage) => void,
  ): OpenConnections {
    return new OpenConnections(server, onDropped);
  }

  /** Adds a request whose head has been read; it ends with its response. */
  add(res: ServerResponse): void {
    const { socket } = res.req;
    this.responses.set(res, socket);
    this.lastPlace += 1;
    this.places.set(res, this.lastPlace);
    this.pipelined.add(res);
    this.take(socket, sentHeadBytes(res.req));
    res.on("close", () => {
      this.responses.delete(res);
      // The order of the entries is that of the last answers.
      if (this.idleBytes.delete(socket))
        this.idleBytes.set(socket, socket.bytesRead);
    });
  }

  /** Notes bytes of a head or a body that were read; the parser keeps none of them. */
  take(socket: Socket, bytes: number): void {
    const before = this.idleBytes.get(socket);
    if (before === undefined) return;
    const leastBytes = socket.bytesRead - maxReadBytes;
    this.idleBytes.set(socket, Math.max(before + bytes, leastBytes));
  }

  /** Lets a response, whose head is not written yet, close its connection: what follows on it gets no answer. */
  closeAfter(res: ServerResponse): void {
    const { socket } = res.req;
    const place = Math.min(this.placeOf(res), this.closingPlace(socket));
    res.shouldKeepAlive = false;
    this.closing.set(socket, place);
  }

  /**
   * Lets a response end when its connection closes, as the replica's did: a content
   * length added by the relay would mark a response as complete that may be truncated.
   */
  endWith(res: ServerResponse): void {
    res.useChunkedEncodingByDefault = false;
    this.closeAfter(res);
  }

  /** Drops a request that came behind a response that closes their connection; returns whether it did. */
  hasDropped(res: ServerResponse): boolean {
    const { req } = res;
    if (this.placeOf(res) <= this.closingPlace(req.socket)) return false;
    this.onDropped(req);
    req.resume();
    this.pipelined.drop(req.socket);
    return true;
  }

  /**
   * Waits until all earlier responses on the connection have ended; false, and the request is
   * dropped, if the connection closes before that.
   */
  awaitTurn(res: ServerResponse): Promise<boolean> {
    if (res.socket !== null) return Promise.resolve(true);
    if (!this.responses.has(res)) return Promise.resolve(false); // it has closed
    return new Promise((resolve) => {
      res.once("socket", () => {
        resolve(true);
      });
      res.once("close", () => {
        if (res.socket === null) this.onDropped(res.req);
        resolve(false);
      });
    });
  }

  /** Whether so many requests wait on the connection of a response that no more are taken. */
  isOverfull(res: ServerResponse): boolean {
    return this.pipelined.areTooMany(res.req.socket);
  }

  /** Returns the number of requests whose heads have been read and that are not answered. */
  requestCount(): number {
    return this.responses.size;
  }

  /** Returns the number of requests that are being read or answered, with heads that have begun. */
  openCount(): number {
    return this.responses.size + this.begunHeads().length;
  }

  /** Returns the heads that have begun on connections without a request. */
  begunHeads(): readonly BegunHead[] {
    const busy = new Set(this.responses.values());
    const begun: BegunHead[] = [];
    for (const [socket, idleBytes] of this.idleBytes) {
      const bytes = socket.bytesRead - idleBytes;
      if (bytes > 0 && !busy.has(socket)) begun.push({ socket, bytes });
    }
    return begun;
  }

  /** Bytes of a connection that the parser may keep, behind what was taken. */
  bytesBehind(socket: Socket): number {
    const takenBytes = this.idleBytes.get(socket) ?? Infinity;
    return Math.max(0, socket.bytesRead - takenBytes);
  }

  /**
   * Returns the last request of each connection behind which the parser may keep trailers, or
   * the beginning of a head. Nothing follows a body of a length that is still read.
   */
  lastRequests(): readonly ServerResponse[] {
    const last = new Map<Socket, ServerResponse>();
    for (const [res, socket] of this.responses) last.set(socket, res);
    return [...last].flatMap(([socket, res]) => {
      const { complete, headers } = res.req;
      const mayFollow = complete || headers["transfer-encoding"] !== undefined;
      return mayFollow && !this.closing.has(socket) ? [res] : [];
    });
  }

  /** Returns all connections, those first whose last answer, or else opening, was longest ago. */
  all(): readonly { readonly socket: Socket; readonly isWaiting: boolean }[] {
    const busy = new Set(this.responses.values());
    return [...this.idleBytes.keys()].map((socket) => ({
      socket,
      isWaiting: !busy.has(socket),
    }));
  }

  /** Returns the responses to requests whose bodies are still read, in order. */
  unreadRequests(): readonly ServerResponse[] {
    return [...this.responses.keys()].filter(({ req }) => !req.complete);
  }

  /** Returns the number of open connections. */
  connectionCount(): number {
    return this.idleBytes.size;
  }

  /** Whether a request on a connection is read or answered. */
  hasRequest(socket: Socket): boolean {
    return this.pipelined.hasAny(socket);
  }

  /** Returns the last response on a connection to a request that was read whole. */
  lastAnswer(socket: Socket): ServerResponse | undefined {
    return [...this.responses]
      .filter(([res, one]) => one === socket && res.req.complete)
      .at(-1)?.[0];
  }

  /**
   * Stops accepting connections, and closes those on which nothing is under way; returns
   * whether it did. If more arrives than is read, it does so only after the given time.
   */
  async closeIdle(readBy: Timestamp): Promise<boolean> {
    const hasReadAll = await this.readArrived();
    if (!hasReadAll && now() < readBy) {
      stopQueueing(this.server);
      return false;
    }
    if (this.server.listening) NetServer.prototype.close.call(this.server);
    const busy = new Set(this.responses.values());
    for (const [socket, bytes] of this.idleBytes)
      if (!busy.has(socket) && socket.bytesRead === bytes) socket.destroy();
    return true;
  }

  /**
   * Lets some turns of the loop pass, as timers run before sockets; returns whether all that
   * has arrived was read in them. A turn accepts one connection, and in a long one more arrives.
   */
  private async readArrived(): Promise<boolean> {
    const { acceptedCount } = this;
    let hasReadAll = true;
    for (let turn = 0; turn < turnsToRead; turn += 1) {
      const begunAt = now();
      await nextTurn();
      if (now() - begunAt > maxShortTurnMs) hasReadAll = false;
    }
    return hasReadAll && this.acceptedCount === acceptedCount;
  }

  /** A request that has not been added comes behind all others. */
  private placeOf(res: ServerResponse): number {
    return this.places.get(res) ?? this.lastPlace + 1;
  }

  private closingPlace(socket: Socket): number {
    return this.closing.get(socket) ?? Infinity;
  }

  /**
   * Ends the responses that wait for earlier ones on a connection that has closed: Node
   * only tells the response whose turn it is.
   */
  private closeQueued(socket: Socket): void {
    for (const [res, one] of [...this.responses])
      if (one === socket && res.socket === null) res.emit("close");
  }
}
