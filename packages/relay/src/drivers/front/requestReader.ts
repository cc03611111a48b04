/** Reads requests, or refuses those that find no room or are outside the limits. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { assertNever } from "@cardamomglade/common";
import { maxTakenOverCount } from "../../decisions/handover/constants.js";
import { HandoverRefusal } from "../../decisions/handover/types.js";
import { requestBytesOf } from "../../decisions/memory/budgetBytes.js";
import {
  serviceUnavailableStatus,
  type CallerRequest,
  type ReplicaProtocol,
  type RequestLimits,
} from "../../types.js";
import { headBytesOf } from "../headBytes.js";
import type { HeadFields } from "../memory/headFields.js";
import { headMemoryOf, minBegunBytes } from "../memory/headMemory.js";
import { memoryBudget } from "../memory/memoryBudget.js";
import { memoryGuard } from "../memory/memoryGuard.js";
import { RequestMemory } from "../memory/requestMemory.js";
import type { OpenConnections } from "../openConnections.js";
import {
  readRequest,
  rewrittenHeaders,
  type RequestRead,
} from "../readRequest.js";
import type { Refusal, RefusalWriter } from "../refusalWriter.js";
import type { ReadingRequests } from "./readingRequests.js";

/** Options of the reader of one server. */
export interface RequestReaderOptions {
  readonly protocol: ReplicaProtocol;
  readonly isFromRouters: boolean;
  readonly connections: OpenConnections;
  readonly fields: HeadFields;
  readonly reading: ReadingRequests;
  readonly refusals: RefusalWriter;
  /** Limits in force. */
  readonly limits: () => RequestLimits;
  readonly isDraining: () => boolean;
  /** Called with each request that was read whole. */
  readonly onRead: (
    res: ServerResponse,
    request: CallerRequest,
    memory: RequestMemory,
  ) => void;
}

const isSized = ({ headers }: IncomingMessage): boolean =>
  headers["transfer-encoding"] === undefined;

/** Reads the requests of one server. */
export class RequestReader {
  /** Callers that ask whether to send the body of their request. */
  private readonly expecting = new WeakSet<ServerResponse>();
  private readonly dropped: ReadonlySet<string>;

  private constructor(private readonly options: RequestReaderOptions) {
    this.dropped = rewrittenHeaders(options.protocol.headers);
  }

  static create(options: RequestReaderOptions): RequestReader {
    return new RequestReader(options);
  }

  /** Notes that a caller waits before it sends the body. */
  expect(res: ServerResponse): void {
    this.expecting.add(res);
  }

  /** Reads or refuses a request whose head has arrived. */
  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.options.connections.add(res);
    const refusal = this.refusalOf(req, res);
    if (refusal !== undefined) {
      this.options.refusals.rejectUnread(res, refusal);
      return;
    }
    const memory = this.openMemory(req);
    if (memory === undefined) {
      this.options.refusals.rejectForMemory(res);
      return;
    }
    this.options.reading.add(res, memory);
    const read = await this.read(req, res, memory);
    if (read.type !== "complete") memory.close();
    await this.settle(read, res, memory);
  }

  /** Why a request is refused as soon as its head was read; undefined if it is not. */
  private refusalOf(
    req: IncomingMessage,
    res: ServerResponse,
  ): Refusal | undefined {
    const { connections, isFromRouters, limits } = this.options;
    if (connections.isOverfull(res))
      return {
        status: serviceUnavailableStatus,
        reason: "too many requests wait on one connection",
      };
    if (isFromRouters && connections.requestCount() > maxTakenOverCount)
      return {
        status: serviceUnavailableStatus,
        reason: "too many requests of other routers",
        handoverRefusal: HandoverRefusal.NoRoom,
      };
    // What other routers hand on was checked there, and carries more headers.
    if (!isFromRouters && headBytesOf(req) >= limits().headerBytes)
      return { status: 431, reason: "the head is too long" };
    return undefined;
  }

  /** Takes the memory of a head; undefined if there is no room for it. */
  private openMemory(req: IncomingMessage): RequestMemory | undefined {
    if (this.options.fields.mayLack(req)) {
      memoryGuard.note(requestBytesOf(headMemoryOf(req)));
      return undefined;
    }
    return RequestMemory.create(memoryBudget, headMemoryOf(req), isSized(req));
  }

  private read(
    req: IncomingMessage,
    res: ServerResponse,
    memory: RequestMemory,
  ): Promise<RequestRead> {
    const { protocol, limits, isFromRouters, connections, reading } =
      this.options;
    return readRequest(req, {
      protocol,
      limits: limits(),
      currentLimits: limits,
      dropped: this.dropped,
      isFromRouters,
      memory,
      onRoom: () => {
        if (this.expecting.has(res)) res.writeContinue();
      },
      onBytes: (bytes) => {
        connections.take(req.socket, bytes);
        return isSized(req) || reading.holdBehind(res);
      },
    });
  }

  private async settle(
    read: RequestRead,
    res: ServerResponse,
    memory: RequestMemory,
  ): Promise<void> {
    const { refusals } = this.options;
    switch (read.type) {
      case "complete":
        await this.pass(read.request, res, memory);
        return;
      case "tooLarge":
        refusals.rejectUnread(res, {
          status: 413,
          reason: "the body is too long",
        });
        return;
      case "tooSlow":
        refusals.rejectUnread(res, {
          status: 408,
          reason: "the body did not arrive in time",
        });
        return;
      case "noRoom":
        this.refuseForMemory(res);
        return;
      case "aborted":
        return;
      case "malformed":
        refusals.rejectUnread(res, {
          status: 400,
          reason: "the request is not one that a router hands on",
        });
        return;
      default:
        assertNever(read);
    }
  }

  private async pass(
    request: CallerRequest,
    res: ServerResponse,
    memory: RequestMemory,
  ): Promise<void> {
    const { connections, isDraining, onRead } = this.options;
    // In a stop an earlier answer may last until the connection is cut.
    const hasTurn = !isDraining() || (await connections.awaitTurn(res));
    if (hasTurn && !connections.hasDropped(res)) onRead(res, request, memory);
    else memory.close();
  }

  private refuseForMemory(res: ServerResponse): void {
    const { connections, reading, refusals } = this.options;
    const { req } = res;
    const { socket } = req;
    refusals.rejectForMemory(res);
    // What the parser keeps is freed with the connection.
    const isKept =
      !isSized(req) && connections.bytesBehind(socket) >= minBegunBytes;
    if (isKept || reading.isShed(res)) socket.destroySoon();
  }
}
