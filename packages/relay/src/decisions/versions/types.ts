/** Types of what is known about software versions and the streams that began at them. */

import type { Timestamp } from "@cardamomglade/common";
import type { Address } from "../../types.js";

/** Where a stream began. */
export interface StreamOrigin {
  /** Identifies the stream over all attempts of its caller. */
  readonly key: string;
  /** Software version of the process that sent the first event; undefined if the teller does not know. */
  readonly version: string | undefined;
}

/** A version of a service's software, as the store keeps the versions of a service. */
export interface StoredVersions {
  readonly service: string;
  readonly versions: readonly string[];
}

/** The origin of a stream that this router keeps. */
export interface KeptOrigin {
  readonly version: string;
  readonly learnedAt: Timestamp;
}

/** How the version of a stream that a caller takes up is looked for. */
export enum VersionSearch {
  None = "none",
  /** This router knows one version; others are asked whether they know of another one. */
  Confirm = "confirm",
  /** Routers and engines are asked where the stream began. */
  Find = "find",
}

/** A question to other routers where a caller's stream began. */
export interface OriginQuery {
  readonly key: string;
  /** Number of routers that were asked. */
  readonly askedCount: number;
  /** Addresses of the routers that have not answered yet. */
  readonly pending: Set<string>;
  readonly until: Timestamp;
}

/** Streams to tell some router of, by its address. */
export type OriginsByRouter = Map<Address, StreamOrigin[]>;

/** What is known about software versions. */
export interface VersionState {
  /** Latest time at which each version had a replica, by service. */
  readonly lastSeenAt: Map<string, Map<string, Timestamp>>;
  /** Latest time at which this router itself read of a replica with each version, by service. */
  readonly registered: Map<string, Map<string, Timestamp>>;
  /** Services with several versions, of which others were told. */
  readonly announced: Set<string>;
  /** Versions in the store's entries, by service. */
  stored: ReadonlyMap<string, readonly string[]>;
  /** Time until which this router's entry in the store lasts, by service. */
  readonly writtenUntil: Map<string, Timestamp>;
  /** From then on, a missing entry is written, by service. */
  readonly nextWriteAt: Map<string, Timestamp>;
  nextCheckAt: Timestamp;
  /** By key of the stream, the oldest first. */
  readonly origins: Map<string, KeptOrigin>;
  /** Streams that were not taken up, as no replica could go on with them. */
  refusedCount: number;
}
