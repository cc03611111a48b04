/**
 * Bounds the connections of a listener, fairly between the addresses of callers. Load pattern:
 * callers that open connections without end and send nothing, or stop in the middle.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import {
  BurstCount,
  chooseClosing,
  closingCountOf,
} from "@cardamomglade/common";
import { LogLevel } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import { OpenConnections, type OpenConnection } from "./openConnections.js";
import type { OpenBodies } from "./openBodies.js";

const logIntervalMs = 1000;

/** Options of the limit of one listener. */
export interface ConnectionLimitOptions {
  readonly server: Server;
  readonly maxCount: number;
  readonly bodies: OpenBodies;
  readonly log: Log;
}

const countByAddress = (
  connections: readonly OpenConnection[],
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const { address } of connections)
    counts.set(address, (counts.get(address) ?? 0) + 1);
  return counts;
};

/** Returns the connections that give way to a new one: none of an address that has fewer than the new one's. */
const chooseOf = (
  connections: readonly OpenConnection[],
  waiting: readonly OpenConnection[],
  { remoteAddress = "" }: Socket,
  closingCount: number,
): readonly OpenConnection[] => {
  const counts = countByAddress(connections);
  const countOf = (address: string) => counts.get(address) ?? 0;
  const inOrder = waiting
    .filter(({ address }) => countOf(address) >= countOf(remoteAddress))
    .map((connection) => ({ connection, address: connection.address }));
  return chooseClosing(inOrder, counts, closingCount);
};

/**
 * Limits the connections of a listener. Of the addresses with most, those without a request
 * give way first, then bodies that have stopped; where there are none, the new one.
 */
export const limitConnections = ({
  server,
  maxCount,
  bodies,
  log,
}: ConnectionLimitOptions): void => {
  const open = OpenConnections.create(server);
  const closed = BurstCount.create(logIntervalMs, (count) => {
    const detail = `${String(count)} closed`;
    log(LogLevel.Warn, "connections closed: too many are open", { detail });
  });
  const hasStopped = ({ responses }: OpenConnection) =>
    [...responses].some(({ req }) => bodies.hasStopped(req));
  const giveWay = ({ socket, responses }: OpenConnection) => {
    if (responses.size === 0) socket.destroy();
    for (const { req } of responses) bodies.giveUp(req);
  };
  /** Makes room for a new connection; returns how many gave way. */
  const makeRoom = (added: Socket): number => {
    const all = open.all();
    const idle = all.filter(
      ({ socket, responses }) => responses.size === 0 && socket !== added,
    );
    const waiting = [...idle, ...all.filter(hasStopped)];
    const chosen = chooseOf(all, waiting, added, closingCountOf(maxCount));
    for (const connection of chosen) giveWay(connection);
    return chosen.length;
  };
  server.on("connection", (added: Socket) => {
    if (open.count() <= maxCount) return;
    const count = makeRoom(added);
    if (count === 0) added.destroy();
    closed.add(Math.max(1, count));
  });
};
