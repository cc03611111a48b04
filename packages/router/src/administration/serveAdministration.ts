/** Requests to the administration API. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Operator } from "@cardamomglade/schema";
import { readBody } from "../callers/readBody.js";
import { authorize } from "./authorize.js";
import type { AdministrationAnswer, AdministrationRoute } from "./types.js";

const maxBodyBytes = 4 * 1024 * 1024;

const errorAnswer = (
  status: number,
  type: string,
  message: string,
): AdministrationAnswer => ({ status, body: { error: { type, message } } });

const send = (res: ServerResponse, answer: AdministrationAnswer): void => {
  const { status, body, contentType = "application/json" } = answer;
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

/** Serves the routes on a server; the caller listens. */
export const serveAdministration = (
  server: Server,
  operators: readonly Operator[],
  routes: readonly AdministrationRoute[],
): void => {
  const answer = async (
    req: IncomingMessage,
  ): Promise<AdministrationAnswer> => {
    const url = new URL(req.url ?? "/", "http://administration");
    const route = findRoute(routes, req, url.pathname);
    if (route === undefined) {
      return errorAnswer(404, "notFound", `no such path: ${url.pathname}`);
    }
    const allowed =
      route.right === undefined
        ? ({ type: "allowed", operator: "" } as const)
        : authorize(operators, req.headers.authorization, route.right);
    if (allowed.type === "unknown") {
      return errorAnswer(
        401,
        "unauthorized",
        "the operator token is not known",
      );
    }
    if (allowed.type === "forbidden") {
      const { operator } = allowed;
      const right = String(route.right);
      return errorAnswer(
        403,
        "forbidden",
        `operator "${operator}" lacks the right "${right}"`,
      );
    }
    const body = await readBody(req, maxBodyBytes);
    if (body.type === "err") {
      return errorAnswer(413, body.error.type, body.error.message);
    }
    const { operator } = allowed;
    return route.handle({
      req,
      query: url.searchParams,
      body: body.value,
      operator,
    });
  };

  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    answer(req)
      .catch((error: unknown) => errorAnswer(500, "internal", String(error)))
      .then((answered) => {
        send(res, answered);
      })
      .catch(() => res.destroy());
  });
};
