/** Headers of requests to replicas, and to routers that take requests over. */

import { now } from "@cardamomglade/common";
import { formatAddress, type ReplicaProtocol } from "../../types.js";
import {
  encodeHandover,
  handoverHeaders,
} from "../handover/handoverHeaders.js";
import type { HandOnCommand, SendCommand } from "./types.js";

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

/** Headers that the relay adds to a request beside those of its caller. */
export const addedHeaders = (
  protocol: ReplicaProtocol,
  command: SendCommand | HandOnCommand,
): string[] => [
  ...forwardingHeaders(protocol, command),
  ...(command.type === "send"
    ? replicaHeaders(protocol, command)
    : routerHeaders(command)),
];
