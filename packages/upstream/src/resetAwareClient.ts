/** A client with one connection, whose answers fail if that was reset where their end should be. */

import { Client, type buildConnector, type Dispatcher } from "undici";
import { awaitConnectionEnd, ConnectionEnd } from "./connectionEnd.js";

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

/** Lets an answer that ends with its connection wait until it is known how that ended. */
const createHandler = (
  inner: Handler,
  connectionEnd: () => Promise<ConnectionEnd>,
): Handler => {
  let isUnframed = false;
  return {
    onRequestStart: (controller, context) =>
      inner.onRequestStart?.(controller, context),
    onRequestUpgrade: (controller, statusCode, headers, socket) =>
      inner.onRequestUpgrade?.(controller, statusCode, headers, socket),
    onResponseStart: (controller, statusCode, headers, statusMessage) => {
      isUnframed = endsWithConnection(statusCode, headers);
      inner.onResponseStart?.(controller, statusCode, headers, statusMessage);
    },
    onResponseData: (controller, chunk) =>
      inner.onResponseData?.(controller, chunk),
    onResponseEnd: (controller, trailers) => {
      if (!isUnframed) {
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
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) => {
      connect(target, (...[error, socket]) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        connectionEnd = awaitConnectionEnd(socket);
        callback(null, socket);
      });
    },
  });
  return client.compose(
    (dispatch) => (request, handler) =>
      dispatch(
        request,
        createHandler(handler, () => connectionEnd),
      ),
  );
};
