/** Sends attempts to replicas and probes engines. */

import { createChannel, now } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import { Counter, type RelayMetrics } from "../metrics.js";
import type { Replica, ReplicaProtocol } from "../types.js";
import {
  askForCopy,
  askToDropCopy,
  listParts,
  probeEngine,
} from "./engineCalls.js";
import { ReplicaCall } from "./replicaCall.js";
import type { RelayDriver } from "./types.js";

const callName = (key: string, attempt: number): string =>
  `${key}/${String(attempt)}`;

/** A driver for all replicas. */
export const createReplicaDriver = (
  protocol: ReplicaProtocol,
  metrics: RelayMetrics,
): RelayDriver => {
  const channel = createChannel<RelayEvent>();
  const calls = new Map<string, ReplicaCall>();

  const send = (command: Extract<RelayCommand, { type: "send" }>) => {
    const { key, attempt } = command;
    const name = callName(key, attempt.number);
    metrics.count(Counter.Attempts);
    if (attempt.start.type === "copy") metrics.count(Counter.Copies);
    const call = ReplicaCall.create(protocol, command, (news) => {
      if (news.type !== "eventsArrived" && news.type !== "streamBegan")
        calls.delete(name);
      channel.push({ ...news, at: now(), key, attempt: attempt.number });
    });
    calls.set(name, call);
  };

  const abandon = (key: string, attempt: number) => {
    const name = callName(key, attempt);
    calls.get(name)?.abandon();
    calls.delete(name);
  };

  const probe = async (replica: Replica, sentAt: number) => {
    metrics.count(Counter.Probes);
    const answer = await probeEngine(protocol, replica);
    channel.push({
      type: "probed",
      at: now(),
      replica: replica.id,
      sentAt,
      ...answer,
    });
  };

  const list = async (replica: Replica) => {
    metrics.count(Counter.Probes);
    const parts = await listParts(protocol, replica);
    channel.push({
      type: "partsListed",
      at: now(),
      replica: replica.id,
      parts,
    });
  };

  const copyRun = async (
    command: Extract<RelayCommand, { type: "copyRun" }>,
  ) => {
    const { key, attempt, holder } = command;
    const handle = await askForCopy(protocol, command);
    channel.push({
      type: "runCopied",
      at: now(),
      key,
      attempt,
      holder,
      handle,
    });
  };

  return {
    events: channel.stream,
    perform: (command) => {
      switch (command.type) {
        case "send":
          send(command);
          return;
        case "abandon":
          abandon(command.key, command.attempt);
          return;
        case "copyRun":
          void copyRun(command);
          return;
        case "dropCopy":
          void askToDropCopy(protocol, command.copy);
          return;
        case "listParts":
          void list(command.replica);
          return;
        case "probe":
          void probe(command.replica, command.sentAt);
          return;
        default:
      }
    },
    stop: () => {
      for (const call of calls.values()) call.abandon();
      calls.clear();
      return Promise.resolve();
    },
  };
};
