/**
 * Bounds the memory of bodies that are being read. Load pattern: callers that send many large
 * bodies at once, and stop just short of their ends.
 */

import type { Readable } from "node:stream";
import { now, type Timestamp } from "@cardamomglade/common";
import { minProgressBytes, stallMs } from "./constants.js";

interface OpenBody {
  heldBytes: number;
  movedBytes: number;
  /** Time by which more has to arrive. */
  progressBy: Timestamp;
  readonly onGivenUp: () => void;
}

/** Bodies that are being read, by their requests, oldest first. */
export class OpenBodies {
  private readonly bodies = new Map<Readable, OpenBody>();
  private heldBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /** Bodies that may take so many bytes together. */
  static create(maxBytes: number): OpenBodies {
    return new OpenBodies(maxBytes);
  }

  /** Begins a body; `onGivenUp` is called once if it gives way to others. */
  open(req: Readable, onGivenUp: () => void): void {
    const progressBy = now() + stallMs;
    const body = { heldBytes: 0, movedBytes: 0, progressBy, onGivenUp };
    this.bodies.set(req, body);
  }

  /** Notes bytes that arrived. */
  move(req: Readable, bytes: number): void {
    const body = this.bodies.get(req);
    if (body === undefined) return;
    body.movedBytes += bytes;
    if (body.movedBytes < minProgressBytes) return;
    body.movedBytes = 0;
    body.progressBy = now() + stallMs;
  }

  /** Sets how many bytes a body takes; false if there is no room for them, also without the bodies that have stopped. */
  tryHold(req: Readable, bytes: number): boolean {
    const body = this.bodies.get(req);
    if (body === undefined) return false;
    const addedBytes = bytes - body.heldBytes;
    for (const other of this.bodies.keys()) {
      if (this.heldBytes + addedBytes <= this.maxBytes) break;
      if (other !== req && this.hasStopped(other)) this.giveUp(other);
    }
    if (this.heldBytes + addedBytes > this.maxBytes) return false;
    body.heldBytes = bytes;
    this.heldBytes += addedBytes;
    return true;
  }

  /** Whether a body is being read and does not move. */
  hasStopped(req: Readable): boolean {
    const body = this.bodies.get(req);
    return body !== undefined && now() > body.progressBy;
  }

  /** Frees a body, and tells its reader that it gives way. */
  giveUp(req: Readable): void {
    const body = this.bodies.get(req);
    this.close(req);
    body?.onGivenUp();
  }

  /** Frees a body; may be called again. */
  close(req: Readable): void {
    this.heldBytes -= this.bodies.get(req)?.heldBytes ?? 0;
    this.bodies.delete(req);
  }
}
