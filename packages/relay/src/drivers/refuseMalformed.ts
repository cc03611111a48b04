/** Answers malformed HTTP requests. */

import type { Server } from "node:http";
import type { Socket } from "node:net";
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

/**
 * Answers malformed requests with an error status, closes their connections and
 * reports each refusal.
 */
export const refuseMalformed = (
  server: Server,
  onRefused: (status: number, detail: string) => void,
): void => {
  server.on("clientError", (error: ClientError, socket: Socket) => {
    // Node counts a first head from the opening of its connection, and again from its first byte.
    if (error.code === headTimeoutCode && socket.bytesRead === 0) return;
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const status = statusOf(error);
    onRefused(Number(status.slice(0, 3)), error.message);
    socket.write(
      `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    closeUnread(socket);
  });
};
