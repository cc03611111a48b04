/** A follower's connection to the router whose watch it shares. */

import type { WebSocket, RawData } from "ws";
import { now } from "@cardamomglade/common";
import type { StorePosition } from "../types.js";
import { decodeSharedMessage, encodeFollowerMessage } from "./codec.js";
import {
  confirmationCheckMs,
  createConfirmationAge,
  type ConfirmationAge,
} from "./confirmationAge.js";
import { maxMessageBytes, recentAgeRatio } from "./constants.js";
import { afterRunningTime } from "./runningTime.js";
import type {
  RouterAddress,
  SharedMessage,
  SharedOutcomes,
  SharedWatchLimits,
} from "./types.js";

/** Callbacks and limits of a connection. */
export interface FollowOptions {
  readonly address: RouterAddress;
  /** Latest position that the follower knows. */
  readonly after: StorePosition;
  readonly limits: SharedWatchLimits;
  /** Time within which the router has to send a recent confirmation by the store. */
  readonly confirmTimeoutMs: number;
  readonly onMessage: (message: SharedMessage) => void;
  /** Called when the first recent confirmation has arrived. */
  readonly onConfirmed: () => void;
  /** Called once, when the router can no longer be followed. */
  readonly onLost: (reason: string) => void;
}

/** Handle of a connection. */
export interface Follow {
  /** Tells the router outcomes; they are lost if the connection is not open. */
  share(outcomes: readonly SharedOutcomes[]): void;
  /** Ends it without a call of `onLost`. */
  close(): void;
}

const openState = 1; // `WebSocket.OPEN`; the library is loaded only when it is needed

/** Joins the fragments of a message. */
export const bytesOf = (data: RawData): Uint8Array => {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
};

/**
 * Follows a router. It is lost when its last confirmation by the store is too
 * old, whatever the cause: a dead or paused process, a silent connection, or a
 * router that is cut off from the store. That this process stands still does not
 * lose it. Load pattern: routers that are cut off from the store together take each
 * other's followers on; a new one gets only the time for connecting to confirm.
 */
export const followRouter = (options: FollowOptions): Follow => {
  const { address, after, limits, confirmTimeoutMs } = options;
  const { onMessage, onConfirmed, onLost } = options;
  let socket: WebSocket | undefined;
  let isOver = false;
  let timer: NodeJS.Timeout | undefined;
  let confirmationAge: ConfirmationAge | undefined;
  const close = () => {
    isOver = true;
    clearInterval(timer);
    endConfirmTimeout();
    socket?.terminate();
  };
  const lose = (reason: string) => {
    if (isOver) return;
    close();
    onLost(reason);
  };
  const endConfirmTimeout = afterRunningTime(confirmTimeoutMs, () => {
    lose("no confirmation by the store in time");
  });
  const checkAge = () => {
    if (confirmationAge?.isTooOld(now()) === true)
      lose("no recent confirmation by the store");
  };
  const confirm = (ageMs: number) => {
    const at = now();
    if (confirmationAge !== undefined) {
      confirmationAge.confirm(at - ageMs);
      return;
    }
    if (ageMs > recentAgeRatio * limits.maxAgeMs) return;
    endConfirmTimeout();
    confirmationAge = createConfirmationAge(limits, at, at - ageMs);
    timer = setInterval(checkAge, confirmationCheckMs(limits));
    onConfirmed();
  };
  const receive = (data: RawData) => {
    const message = decodeSharedMessage(bytesOf(data));
    if (message === undefined) {
      lose("a malformed message");
      return;
    }
    if (message.type === "changes") confirm(message.ageMs);
    if (!isOver) onMessage(message);
  };
  const connect = async () => {
    const ws = await import("ws");
    if (isOver) return;
    socket = new ws.WebSocket(`ws://${address.host}:${String(address.port)}/`, {
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
    });
    socket.on("open", () => {
      socket?.send(encodeFollowerMessage({ type: "follow", after }));
    });
    socket.on("message", receive);
    socket.on("error", (error) => {
      lose(error.message);
    });
    socket.on("close", () => {
      lose("connection closed");
    });
  };
  connect().catch((error: unknown) => {
    lose(error instanceof Error ? error.message : String(error));
  });
  return {
    close,
    share: (outcomes) => {
      if (socket?.readyState !== openState) return;
      socket.send(encodeFollowerMessage({ type: "outcomes", outcomes }));
    },
  };
};
