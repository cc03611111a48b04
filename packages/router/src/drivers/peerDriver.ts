/** Links to other routers. */

import { readFile } from "node:fs/promises";
import {
  createChannel,
  createSource,
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

/** Seeds that one router dials; gossip finds the others. */
const dialedSeeds = 8;
const waitingPerPeer = 64;
const waitingMs = 2000;

interface WaitingMessage {
  readonly message: PeerMessage;
  readonly deadline: number;
}

/** The driver and its address towards other routers. */
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

/** Listens for other routers; does nothing where the settings name no mesh. */
export const createPeerDriver = async (
  settings: Settings,
  view: StateView,
  clock: ProcessClock,
): Promise<PeerDriver> => {
  const channel = createChannel<RouterEvent>();
  if (settings.peers === undefined)
    return { ...createSource(channel.stream), url: "" };
  const waiting = new Map<string, WaitingMessage[]>();

  const flush = (peer: string) => {
    const messages = waiting.get(peer) ?? [];
    waiting.delete(peer);
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
    const queue = waiting.get(peer) ?? [];
    const live = queue.filter(({ deadline }) => deadline > now());
    if (live.length < waitingPerPeer)
      live.push({ message, deadline: now() + waitingMs });
    waiting.set(peer, live);
    mesh.connect(url);
    if (queue.length === 0) forgetUnwanted(url);
  };

  // An address dialed for one message is not dialed again for ever.
  const forgetUnwanted = (url: string) => {
    const timer = setTimeout(() => {
      const isWanted = seeds.has(url) || view().membership.neighbours.has(url);
      if (!isWanted) mesh.forget(url);
    }, waitingMs);
    timer.unref();
  };

  const { name } = settings.router;
  const others = settings.peers.seeds.filter((seed) => seed !== mesh.url);
  const seeds = new Set(rendezvousOrder(name, others).slice(0, dialedSeeds));
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
        if (!seeds.has(command.url)) mesh.forget(command.url);
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
