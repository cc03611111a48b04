/** HTTP server of the administration API. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Operator } from "@cardamomglade/schema";
import type { OpenBodies } from "../connections/openBodies.js";
import { refuseLongHead } from "../connections/refuseLongHead.js";
import { statusOf } from "../errors.js";
import { readBody } from "../callers/readBody.js";
import { authorize } from "./authorize.js";
import type { AdministrationResponse, AdministrationRoute } from "./types.js";

const maxBodyBytes = 4 * 1024 * 1024;

const errorResponse = (
  status: number,
  type: string,
  message: string,
): AdministrationResponse => ({ status, body: { error: { type, message } } });

const sendResponse = (
  res: ServerResponse,
  response: AdministrationResponse,
): void => {
  const { status, body, contentType = "application/json" } = response;
  const text = typeof body === "string" ? body : JSON.stringify(body);
  res.writeHead(status, { "content-type": contentType });
  res.end(text);
};

const findRoute = (
  routes: readonly AdministrationRoute[],
  req: IncomingMessage,
  path: string,
): AdministrationRoute | undefined =>
  routes.find((route) => route.method === req.method && route.path === path);

/** Dependencies of the administration API. */
export interface AdministrationOptions {
  readonly server: Server;
  readonly operators: readonly Operator[];
  readonly routes: readonly AdministrationRoute[];
  /** Bodies of requests that are being read. */
  readonly bodies: OpenBodies;
}

/** Handles a server's requests with the given routes; does not start listening. */
export const serveAdministration = ({
  server,
  operators,
  routes,
  bodies,
}: AdministrationOptions): void => {
  const handleRequest = async (
    req: IncomingMessage,
  ): Promise<AdministrationResponse> => {
    const url = new URL(req.url ?? "/", "http://administration");
    const route = findRoute(routes, req, url.pathname);
    if (route === undefined) {
      return errorResponse(404, "notFound", `no such path: ${url.pathname}`);
    }
    const authorization =
      route.right === undefined
        ? ({ type: "allowed", operator: "" } as const)
        : authorize(operators, req.headers.authorization, route.right);
    if (authorization.type === "unknown") {
      return errorResponse(
        401,
        "unauthorized",
        "the operator token is not known",
      );
    }
    if (authorization.type === "forbidden") {
      const { operator } = authorization;
      const right = String(route.right);
      return errorResponse(
        403,
        "forbidden",
        `operator "${operator}" lacks the right "${right}"`,
      );
    }
    const body = await readBody(req, maxBodyBytes, bodies);
    if (body.type === "err") {
      return errorResponse(
        statusOf(body.error),
        body.error.type,
        body.error.message,
      );
    }
    const { operator } = authorization;
    return route.handle({
      req,
      query: url.searchParams,
      body: body.value,
      operator,
    });
  };

  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    if (refuseLongHead(req, res, server)) return;
    handleRequest(req)
      .catch((error: unknown) => errorResponse(500, "internal", String(error)))
      .then((response) => {
        sendResponse(res, response);
      })
      .catch(() => res.destroy());
  });
};
