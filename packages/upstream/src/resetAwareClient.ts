/** A client with one connection, whose answers fail if that was reset where their end should be, or took only a part of the request. */

import {
  awaitConnectionEnd,
  ConnectionEnd,
  holdUploadEnd,
} from "@cardamomglade/common";
import { Client, type buildConnector, type Dispatcher } from "undici";

type Handler = Dispatcher.DispatchHandler;
type Headers = Readonly<Record<string, string | string[] | undefined>>;

const noContentStatus = 204; // has no body

/** Whether nothing but the end of the connection marks the end of an answer. */
export const endsWithConnection = (
  statusCode: number,
  headers: Headers,
): boolean =>
  statusCode !== noContentStatus &&
  headers["content-length"] === undefined &&
  headers["transfer-encoding"] === undefined;

/** What is known of the request that a client sends. */
interface SentRequest {
  /** Bytes of its body; infinite if they are not known. */
  readonly bodyBytes: number;
  isUnframed: boolean;
}

const bodyBytesOf = (body: Dispatcher.DispatchOptions["body"]): number => {
  if (body === undefined || body === null) return 0;
  return typeof body === "string" || body instanceof Uint8Array
    ? Buffer.byteLength(body)
    : Infinity;
};

/** Lets an answer that ends with its connection wait until it is known how that ended. */
const createHandler = (
  inner: Handler,
  sent: SentRequest,
  connectionEnd: () => Promise<ConnectionEnd>,
): Handler => {
  return {
    onRequestStart: (controller, context) =>
      inner.onRequestStart?.(controller, context),
    onRequestUpgrade: (controller, statusCode, headers, socket) =>
      inner.onRequestUpgrade?.(controller, statusCode, headers, socket),
    onResponseStart: (controller, statusCode, headers, statusMessage) => {
      sent.isUnframed = endsWithConnection(statusCode, headers);
      inner.onResponseStart?.(controller, statusCode, headers, statusMessage);
    },
    onResponseData: (controller, chunk) =>
      inner.onResponseData?.(controller, chunk),
    onResponseEnd: (controller, trailers) => {
      if (!sent.isUnframed) {
        inner.onResponseEnd?.(controller, trailers);
        return;
      }
      void connectionEnd().then((end) => {
        if (end === ConnectionEnd.Closed)
          inner.onResponseEnd?.(controller, trailers);
        else
          inner.onResponseError?.(
            controller,
            new Error("the connection was reset"),
          );
      });
    },
    onResponseError: (controller, error) =>
      inner.onResponseError?.(controller, error),
  };
};

/** Creates a client, which sends one request at a time. */
export const createResetAwareClient = (
  origin: URL,
  options: Client.Options,
  connect: buildConnector.connector,
): Dispatcher => {
  let connectionEnd = Promise.resolve(ConnectionEnd.Closed);
  let sent: SentRequest = { bodyBytes: 0, isUnframed: false };
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) => {
      connect(target, (...[error, socket]) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        connectionEnd = awaitConnectionEnd(socket);
        holdUploadEnd(socket, () =>
          sent.isUnframed ? sent.bodyBytes : undefined,
        );
        callback(null, socket);
      });
    },
  });
  return client.compose((dispatch) => (request, handler) => {
    sent = { bodyBytes: bodyBytesOf(request.body), isUnframed: false };
    return dispatch(
      request,
      createHandler(handler, sent, () => connectionEnd),
    );
  });
};
