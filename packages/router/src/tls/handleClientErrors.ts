/** Responses to requests that the HTTP parser rejects. */

import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import { RequestExecuted } from "@cardamomglade/common";
import { ErrorType } from "../errors.js";
import { UnansweredRequests } from "./unansweredRequests.js";

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

const refuse = (error: ClientError, socket: Duplex): void => {
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

/**
 * Responds to malformed, oversized and timed-out requests with a typed error. Behind a request
 * that is owed an answer, the error would be taken for it: the connection closes after that
 * answer, without one for what came behind it.
 */
export const handleClientErrors = (server: Server): Server => {
  const unanswered = UnansweredRequests.create(server);
  return server.on("clientError", (error: ClientError, socket: Duplex) => {
    const isGone = !socket.writable || error.code === "ECONNRESET";
    if (isGone || unanswered.isAnsweredEarly(socket)) {
      socket.destroy();
      return;
    }
    const due = unanswered.dueOn(socket).at(-1);
    if (due === undefined) refuse(error, socket);
    else
      due.once("close", () => {
        socket.destroy();
      });
  });
};
