/** Refuses heads of too many lines. Load pattern: heads of legal size made of very many short lines. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { ErrorType, notRunError } from "../errors.js";

const headTooLongStatus = 431;

/** Lets Node keep one line more than are allowed: it drops the others, which may name the caller's key. */
export const limitHeadLines = (server: Server, maxLines: number): void => {
  server.maxHeadersCount = maxLines + 1;
};

/** Refuses a request if its head has more lines than its listener allows; returns whether it did. */
export const refuseLongHead = (
  { rawHeaders }: IncomingMessage,
  res: ServerResponse,
  { maxHeadersCount }: Server,
): boolean => {
  const lineCount = rawHeaders.length / 2;
  if (maxHeadersCount === null || lineCount < maxHeadersCount) return false;
  const message = "the request's head has too many lines";
  const { type, ran } = notRunError(ErrorType.TooLarge, message);
  res.writeHead(headTooLongStatus, {
    "content-type": "application/json",
    connection: "close",
  });
  res.end(JSON.stringify({ error: { type, message, ran } }));
  return true;
};
