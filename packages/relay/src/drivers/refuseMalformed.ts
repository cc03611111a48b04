/** Answers malformed HTTP requests. */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { OpenConnections } from "./openConnections.js";
import { closeUnread } from "./closeUnread.js";

type ClientError = Error & { readonly code?: string };

const headTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

const statusOf = ({ code }: ClientError): string => {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case headTimeoutCode:
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
};

const refuse = (socket: Socket, status: string): void => {
  socket.write(
    `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
  );
  closeUnread(socket);
};

/**
 * Answers malformed requests with an error status, closes their connections and
 * reports each refusal. Requests that were read before are answered first.
 */
export const refuseMalformed = (
  server: Server,
  connections: OpenConnections,
  onRefused: (status: number, detail: string) => void,
): void => {
  const refused = new WeakSet<Socket>();
  server.on("clientError", (error: ClientError, socket: Socket) => {
    const isSlow = error.code === headTimeoutCode;
    // Node counts a first head from the opening of its connection, and again from its first byte.
    if (isSlow && socket.bytesRead === 0) return;
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    if (refused.has(socket)) return;
    const before = connections.lastAnswer(socket);
    const status = statusOf(error);
    const refuseNow = () => {
      if (!socket.writable) return;
      onRefused(Number(status.slice(0, 3)), error.message);
      refuse(socket, status);
    };
    if (!isSlow) refused.add(socket);
    if (before === undefined) {
      refuseNow();
      return;
    }
    before.once("close", () => {
      // A slow head may have ended meanwhile.
      if (!isSlow || connections.lastAnswer(socket) === undefined) refuseNow();
    });
  });
};
