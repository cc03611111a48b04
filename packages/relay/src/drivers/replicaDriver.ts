/** Sends attempts to replicas and probes engines. */

import { createChannel, now, probeConnection } from "@cardamomglade/common";
import { probeTimeoutMs } from "../decisions/constants.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import type { AnsweringReplica } from "../decisions/types.js";
import { Counter, type RelayMetrics } from "../metrics.js";
import type { Replica, ReplicaProtocol } from "../types.js";
import {
  requestKvCacheCopy,
  requestRunStop,
  releaseKvCacheCopy,
  listPromptBlocks,
  probeAddress,
  probeEngine,
  type ReplicaNotice,
} from "./engineCalls.js";
import { ReplicaCall } from "./replicaCall.js";
import type { CallEvent } from "./replicaCalls/types.js";
import type { RelayDriver } from "./types.js";

const callKey = (key: string, attempt: number): string =>
  `${key}/${String(attempt)}`;

/** Whether no event of the call follows. */
const isLastEvent = ({ type }: CallEvent): boolean =>
  type === "responseReceived" ||
  type === "streamEnded" ||
  type === "attemptFailed";

/** Whether an event says something of the replica, not of the call. */
const isNotice = (
  event: CallEvent,
): event is Extract<CallEvent, { readonly replica: AnsweringReplica }> =>
  event.type === "leavingAnnounced" || event.type === "backOffRequested";

/** Creates the driver for all replicas. */
export const createReplicaDriver = (
  protocol: ReplicaProtocol,
  metrics: RelayMetrics,
): RelayDriver => {
  const channel = createChannel<RelayEvent>();
  const calls = new Map<string, ReplicaCall>();

  const onNotice = (
    replica: Pick<Replica, "id" | "startedAt">,
    notice: ReplicaNotice,
  ) => {
    channel.push({ ...notice, at: now(), replica });
  };

  const start = (
    command: Extract<RelayCommand, { type: "send" | "handOn" }>,
    attempt: number,
  ) => {
    const { key } = command;
    const name = callKey(key, attempt);
    const call = ReplicaCall.create(protocol, command, (callEvent) => {
      if (isNotice(callEvent)) {
        onNotice(callEvent.replica, callEvent);
        return;
      }
      if (isLastEvent(callEvent)) calls.delete(name);
      channel.push({ ...callEvent, at: now(), key, attempt });
    });
    if (call !== undefined) calls.set(name, call);
  };

  const send = (command: Extract<RelayCommand, { type: "send" }>) => {
    const { attempt } = command;
    metrics.count(Counter.Attempts);
    if (attempt.start.type === "copy") metrics.count(Counter.Copies);
    start(command, attempt.number);
  };

  const abandon = (key: string, attempt: number) => {
    const name = callKey(key, attempt);
    calls.get(name)?.abandon();
    calls.delete(name);
  };

  const abandonUnconnected = (key: string, attempt: number) => {
    calls.get(callKey(key, attempt))?.abandonUnconnected();
  };

  const probe = async (replica: Replica, sentAt: number) => {
    metrics.count(Counter.Probes);
    const answer = await probeEngine(protocol, replica, onNotice);
    channel.push({
      type: "probeFinished",
      at: now(),
      replica: replica.id,
      sentAt,
      ...answer,
    });
  };

  const askAddress = async (
    command: Extract<RelayCommand, { type: "probeAddress" }>,
  ) => {
    const { id, startedAt } = command.replica;
    metrics.count(Counter.Probes);
    const answer = await probeAddress(protocol, command);
    const at = now();
    channel.push({ type: "addressProbed", at, replica: id, startedAt, answer });
  };

  const checkConnection = async (replica: Replica, sentAt: number) => {
    metrics.count(Counter.Probes);
    const outcome = await probeConnection(replica, probeTimeoutMs);
    channel.push({
      type: "connectionProbed",
      at: now(),
      replica: replica.id,
      sentAt,
      outcome,
    });
  };

  const listBlocks = async (
    command: Extract<RelayCommand, { type: "listPromptBlocks" }>,
  ) => {
    const { replica } = command;
    metrics.count(Counter.Probes);
    const promptBlocks = await listPromptBlocks(protocol, command, onNotice);
    channel.push({
      type: "promptBlocksListed",
      at: now(),
      replica: replica.id,
      promptBlocks,
    });
  };

  const copyKvCache = async (
    command: Extract<RelayCommand, { type: "copyKvCache" }>,
  ) => {
    const { key, attempt, holder } = command;
    const handle = await requestKvCacheCopy(protocol, command, onNotice);
    channel.push({
      type: "kvCacheCopied",
      at: now(),
      key,
      attempt,
      holder,
      handle,
    });
  };

  const stopRun = async (
    command: Extract<RelayCommand, { type: "stopRun" }>,
  ) => {
    const { key, attempt, replica, holder } = command;
    metrics.count(Counter.Stops);
    const outcome = await requestRunStop(protocol, command, onNotice);
    channel.push({
      type: "runStopped",
      at: now(),
      key,
      attempt,
      replica,
      holder,
      outcome,
    });
  };

  return {
    events: channel.stream,
    perform: (command) => {
      switch (command.type) {
        case "send":
          send(command);
          return;
        case "handOn":
          start(command, command.attempt);
          return;
        case "abandon":
          abandon(command.key, command.attempt);
          return;
        case "abandonUnconnected":
          abandonUnconnected(command.key, command.attempt);
          return;
        case "copyKvCache":
          void copyKvCache(command);
          return;
        case "stopRun":
          void stopRun(command);
          return;
        case "releaseCopy":
          void releaseKvCacheCopy(protocol, command.copy, onNotice);
          return;
        case "listPromptBlocks":
          void listBlocks(command);
          return;
        case "probeConnection":
          void checkConnection(command.replica, command.sentAt);
          return;
        case "probeAddress":
          void askAddress(command);
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
