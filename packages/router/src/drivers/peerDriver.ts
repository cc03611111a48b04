/** Connections to other routers. */

import { readFile } from "node:fs/promises";
import {
  createChannel,
  createSourceDriver,
  now,
  rendezvousOrder,
} from "@cardamomglade/common";
import { PeerMesh, type LinkTls, type MeshEvent } from "@cardamomglade/peers";
import type {
  PeerMessage,
  PeerSettings,
  Settings,
  TlsSettings,
} from "@cardamomglade/schema";
import type { RouterCommand, RouterEvent } from "../types.js";
import { observeMessage, stampMessage } from "./messageClock.js";
import type { ProcessClock } from "./processClock.js";
import type { RouterDriver, StateView } from "./types.js";

/** Number of seeds that a router dials; it discovers the other routers by gossip. */
const maxDialedSeedCount = 8;
const maxQueuedMessagesPerPeer = 64;
const queuedMessageTtlMs = 2000;

interface QueuedMessage {
  readonly message: PeerMessage;
  readonly deadline: number;
}

/** The driver with the address at which other routers reach it. */
export type PeerDriver = RouterDriver & { readonly url: string };

const readTls = async (
  tls: TlsSettings | undefined,
): Promise<LinkTls | undefined> => {
  if (tls === undefined) return undefined;
  const [key, cert, ca] = await Promise.all([
    readFile(tls.keyFile, "utf8"),
    readFile(tls.certificateFile, "utf8"),
    tls.authorityFile === undefined
      ? undefined
      : readFile(tls.authorityFile, "utf8"),
  ]);
  const requestCert = tls.requireClientCertificate;
  return { key, cert, requestCert, ...(ca === undefined ? {} : { ca }) };
};

const toRouterEvent = (event: MeshEvent): RouterEvent => {
  const at = now();
  const { peer } = event;
  switch (event.type) {
    case "linked":
      return { type: "peerLinked", at, peer };
    case "lost":
      return { type: "peerLost", at, peer };
    case "received":
      return { type: "peerMessageReceived", at, peer, message: event.message };
  }
};

const createMesh = async (
  { router, listen }: Settings,
  peers: PeerSettings,
  onEvent: (event: MeshEvent) => void,
): Promise<PeerMesh> => {
  const listenTls = await readTls(listen.peers.tls);
  const dialTls = await readTls(peers.tls);
  return PeerMesh.create({
    router: router.name,
    address: listen.peers.address,
    port: listen.peers.port,
    sharedSecret: peers.sharedSecret,
    ...(listenTls === undefined ? {} : { listenTls }),
    ...(dialTls === undefined ? {} : { dialTls }),
    onEvent,
  });
};

/** Listens for and connects to other routers; does nothing if the settings configure no peers. */
export const createPeerDriver = async (
  settings: Settings,
  view: StateView,
  clock: ProcessClock,
): Promise<PeerDriver> => {
  const channel = createChannel<RouterEvent>();
  if (settings.peers === undefined)
    return { ...createSourceDriver(channel.stream), url: "" };
  const queuedMessages = new Map<string, QueuedMessage[]>();

  const flush = (peer: string) => {
    const messages = queuedMessages.get(peer) ?? [];
    queuedMessages.delete(peer);
    for (const { message, deadline } of messages)
      if (deadline > now()) mesh.send(peer, message);
  };

  const mesh = await createMesh(settings, settings.peers, (event) => {
    if (event.type === "received") observeMessage(clock, event.message);
    channel.push(toRouterEvent(event));
    if (event.type === "linked") flush(event.peer);
  });

  const send = (peer: string, message: PeerMessage) => {
    if (mesh.send(peer, message)) return;
    const url = view().membership.members.get(peer)?.record.url;
    if (url === undefined || url === "") return;
    const queue = queuedMessages.get(peer) ?? [];
    const live = queue.filter(({ deadline }) => deadline > now());
    if (live.length < maxQueuedMessagesPerPeer)
      live.push({ message, deadline: now() + queuedMessageTtlMs });
    queuedMessages.set(peer, live);
    mesh.connect(url);
    if (queue.length === 0) scheduleForget(url);
  };

  // An address that was dialed only to send queued messages is forgotten afterwards, so that it is not redialed forever.
  const scheduleForget = (url: string) => {
    const timer = setTimeout(() => {
      const isNeeded = seeds.has(url) || view().membership.neighbours.has(url);
      if (!isNeeded) mesh.stopDialing(url);
    }, queuedMessageTtlMs);
    timer.unref();
  };

  const { name } = settings.router;
  const otherSeeds = settings.peers.seeds.filter((seed) => seed !== mesh.url);
  const seeds = new Set(
    rendezvousOrder(name, otherSeeds).slice(0, maxDialedSeedCount),
  );
  setImmediate(() => {
    for (const seed of seeds) mesh.connect(seed);
  });

  const perform = (command: RouterCommand) => {
    switch (command.type) {
      case "sendToPeer":
        send(command.peer, stampMessage(clock, command.message));
        return;
      case "connectPeer":
        mesh.connect(command.url);
        return;
      case "forgetPeer":
        if (!seeds.has(command.url)) mesh.stopDialing(command.url);
        return;
      default:
    }
  };

  return {
    events: channel.stream,
    url: mesh.url,
    perform,
    stop: () => mesh.close(),
  };
};
