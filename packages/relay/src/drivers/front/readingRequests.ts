/** Memory of the requests of one server that are being read. */

import type { ServerResponse } from "node:http";
import type { HeadFields } from "../memory/headFields.js";
import { begunHeadMemoryOf, minBegunBytes } from "../memory/headMemory.js";
import type { RequestMemory } from "../memory/requestMemory.js";
import type { OpenConnections } from "../openConnections.js";

const behindStepBytes = 4 * 1024;

/** Requests of one server that are being read, by their responses. */
export class ReadingRequests {
  private readonly memory = new WeakMap<ServerResponse, RequestMemory>();
  /** Requests whose connections are closed with their refusals. */
  private readonly shed = new WeakSet<ServerResponse>();

  private constructor(
    private readonly connections: OpenConnections,
    private readonly fields: HeadFields,
  ) {}

  static create(
    connections: OpenConnections,
    fields: HeadFields,
  ): ReadingRequests {
    return new ReadingRequests(connections, fields);
  }

  /** Adds a request; its memory is freed with its response. */
  add(res: ServerResponse, memory: RequestMemory): void {
    this.memory.set(res, memory);
    res.on("close", () => {
      memory.close();
    });
  }

  /** Counts what the parser keeps behind the part of a body that was read; false if there is no room for it. */
  holdBehind(res: ServerResponse): boolean {
    const { socket } = res.req;
    const bytes = this.connections.bytesBehind(socket);
    const maxFields = this.fields.limitOf(socket);
    // In steps: it changes with each chunk, however short.
    const countedBytes = Math.ceil(bytes / behindStepBytes) * behindStepBytes;
    const heldBytes =
      bytes < minBegunBytes ? 0 : begunHeadMemoryOf(countedBytes, maxFields);
    return this.memory.get(res)?.holdBehind(heldBytes) ?? true;
  }

  /** Counts what the parser keeps behind a request; gives the request up if there is no room for it. */
  countBehind(res: ServerResponse): void {
    if (!this.holdBehind(res)) this.memory.get(res)?.giveUp();
  }

  /** Refuses a request if its body has stopped, and lets its connection close; returns whether it did. */
  refuseStalled(res: ServerResponse): boolean {
    const isRefused = this.memory.get(res)?.giveUpStalled() === true;
    if (isRefused) this.shed.add(res);
    return isRefused;
  }

  /** Whether the connection of a request closes with its refusal. */
  isShed(res: ServerResponse): boolean {
    return this.shed.has(res);
  }
}
