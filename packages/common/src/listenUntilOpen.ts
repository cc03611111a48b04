/** Opens a port as soon as it is free: at the start, another process may still hold it. */

import type { EventEmitter } from "node:events";
import type { Server } from "node:net";

/** A server or socket; listening once leads to a 'listening' or an 'error' event. */
export interface PortListener {
  readonly emitter: EventEmitter & { close(): unknown };
  readonly listen: () => void;
}

/** What happens to a port. */
export type PortEvent =
  /** It cannot be opened yet; reported when the reason changes. */
  | { readonly type: "blocked"; readonly reason: string }
  | { readonly type: "opened"; readonly hasBeenBlocked: boolean }
  /** An error of a port that is open and stays open. */
  | { readonly type: "failed"; readonly reason: string };

/** A port that is open or is about to be opened. */
export interface OpeningPort {
  isOpen(): boolean;
  /** Stops trying; a port that is open stays open until its server is closed. */
  stop(): void;
}

const retryIntervalMs = 150;

/** Tries to listen until it succeeds or is stopped. Later errors are reported and never thrown. */
export const listenUntilOpen = (
  { emitter, listen }: PortListener,
  onEvent: (event: PortEvent) => void,
): OpeningPort => {
  let isOpen = false;
  let isStopped = false;
  let blockedBy: string | undefined;
  let timer: NodeJS.Timeout | undefined;

  const tryAgainLater = (reason: string) => {
    if (isStopped) return;
    if (reason !== blockedBy) onEvent({ type: "blocked", reason });
    blockedBy = reason;
    clearTimeout(timer);
    timer = setTimeout(tryToListen, retryIntervalMs);
  };
  const tryToListen = () => {
    try {
      listen();
    } catch (error) {
      tryAgainLater(error instanceof Error ? error.message : String(error));
    }
  };

  emitter.on("listening", () => {
    // An attempt may succeed after the stop.
    if (isStopped) {
      emitter.close();
      return;
    }
    isOpen = true;
    onEvent({ type: "opened", hasBeenBlocked: blockedBy !== undefined });
  });
  emitter.on("error", ({ message }: Error) => {
    if (isOpen) onEvent({ type: "failed", reason: message });
    else tryAgainLater(message);
  });
  const stop = () => {
    isStopped = true;
    clearTimeout(timer);
  };
  emitter.on("close", () => {
    isOpen = false;
    stop();
  });
  tryToListen();
  return { isOpen: () => isOpen, stop };
};

/** Opens the port of a server; see `listenUntilOpen`. */
export const openServerPort = (
  server: Server,
  { host, port }: { readonly host: string; readonly port: number },
  onEvent: (event: PortEvent) => void,
): OpeningPort =>
  listenUntilOpen(
    { emitter: server, listen: () => server.listen(port, host) },
    onEvent,
  );
