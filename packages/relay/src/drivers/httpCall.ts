/** Sends one HTTP request with a deadline on its own connection and buffers the response. */

import {
  request,
  type ClientRequest,
  type IncomingHttpHeaders,
} from "node:http";
import type { Timestamp } from "@cardamomglade/common";
import { AnswerBuffer } from "./answerBuffers.js";
import { lengthOf } from "./lengthOf.js";
import { controlBudgetOf, type CallPeer } from "./memory/controlBudgets.js";
import { whenOverdue } from "./whenOverdue.js";

/** Parameters of an HTTP call. */
export interface HttpCall {
  readonly peer: CallPeer;
  readonly host: string;
  readonly port: number;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly deadline: Timestamp;
  /** Time by which a new connection has to be established; defaults to the deadline. */
  readonly connectDeadline?: Timestamp;
}

/** Result of an HTTP call. */
export type HttpResult =
  | {
      readonly type: "answered";
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly text: string;
    }
  | {
      readonly type: "failed";
      readonly detail: string;
      /** Whether the host refused the connection: no process listens there. */
      readonly isRefused: boolean;
      /** Whether the host had taken the connection. */
      readonly isConnected: boolean;
    };

const jsonBody = { "content-type": "application/json" };

const send = ({ host, port, method, path, body }: HttpCall) =>
  request({
    host,
    port,
    method,
    path,
    agent: false,
    ...(body !== undefined && { headers: jsonBody }),
  });

/** Buffers the response to a request; resolves by the deadline. */
const awaitResponse = (
  call: HttpCall,
  req: ClientRequest,
): Promise<HttpResult> =>
  new Promise((resolve) => {
    const { body, deadline } = call;
    const pending: (() => void)[] = [];
    let buffer: AnswerBuffer | undefined;
    let isConnected = false;
    const finish = (outcome: HttpResult) => {
      for (const giveUp of pending) giveUp();
      buffer?.close();
      resolve(outcome);
      req.destroy();
    };
    const fail = (detail: string, isRefused = false) => {
      finish({ type: "failed", detail, isRefused, isConnected });
    };
    const failAt = (at: Timestamp, detail: string): (() => void) => {
      const giveUp = whenOverdue(at, () => {
        fail(detail);
      });
      pending.push(giveUp);
      return giveUp;
    };
    failAt(deadline, "no response before the deadline");
    req.on("socket", (socket) => {
      if (!socket.connecting) return;
      const connectedBy = call.connectDeadline ?? deadline;
      const giveUp = failAt(connectedBy, "connection timed out");
      socket.once("connect", () => {
        isConnected = true;
        giveUp();
      });
    });
    req.on("error", (error: NodeJS.ErrnoException) => {
      fail(error.message, error.code === "ECONNREFUSED");
    });
    req.on("response", (res) => {
      buffer = AnswerBuffer.create(controlBudgetOf(call.peer), {
        length: lengthOf(res),
        onOverflow: fail,
      });
      buffer?.fill(res);
      res.on("error", (error) => {
        fail(error.message);
      });
      res.on("end", () => {
        const text = buffer?.take().toString("utf8") ?? "";
        const { headers, statusCode: status = 0 } = res;
        finish({ type: "answered", status, headers, text });
      });
    });
    req.end(body);
  });

/** Sends the request; always resolves by the deadline, or once what had arrived by then has been read, also if its parameters are invalid. */
export const httpCall = async (call: HttpCall): Promise<HttpResult> => {
  let req: ClientRequest;
  try {
    req = send(call);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return { type: "failed", detail, isRefused: false, isConnected: false };
  }
  return awaitResponse(call, req);
};
