/** Responses to requests that the HTTP parser rejects. */

import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import { RequestExecuted } from "@cardamomglade/common";
import { ErrorType } from "../errors.js";

type ClientError = Error & { readonly code?: string };

interface ErrorResponseHead {
  readonly status: string;
  readonly type: ErrorType;
  readonly message: string;
}

const responseHeadOf = (error: ClientError): ErrorResponseHead => {
  switch (error.code) {
    case "HPE_HEADER_OVERFLOW":
      return {
        status: "431 Request Header Fields Too Large",
        type: ErrorType.TooLarge,
        message: "the request's head is too large",
      };
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return {
        status: "408 Request Timeout",
        type: ErrorType.DeadlineExceeded,
        message: "the request did not arrive in time",
      };
    default:
      return {
        status: "400 Bad Request",
        type: ErrorType.Malformed,
        message: "the request is not HTTP",
      };
  }
};

const respond = (error: ClientError, socket: Duplex): void => {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const { status, type, message } = responseHeadOf(error);
  const body = JSON.stringify({
    error: { type, message, ran: RequestExecuted.No },
  });
  const head = [
    `HTTP/1.1 ${status}`,
    "content-type: application/json",
    `content-length: ${String(Buffer.byteLength(body))}`,
    "connection: close",
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
};

/** Responds to malformed, oversized and timed-out requests with a typed error. */
export const handleClientErrors = (server: Server): Server =>
  server.on("clientError", respond);
