/** Caller API over HTTP. */

import { randomUUID } from "node:crypto";
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createChannel, now, Ran } from "@cardamomglade/common";
import type { Customer, Settings } from "@cardamomglade/schema";
import { authenticate } from "../callers/authenticate.js";
import {
  AnswerWriter,
  sendError,
  type AnswerShape,
} from "../callers/answerWriter.js";
import { parseGeneration } from "../callers/parseGeneration.js";
import {
  parseServiceCall,
  serviceNameOf,
  servicePrefix,
} from "../callers/parseServiceCall.js";
import { readBody } from "../callers/readBody.js";
import { ErrorType, notRun, type ApiError } from "../errors.js";
import { Counter, Latency, type Metrics } from "../metrics.js";
import type { RouterCommand, RouterEvent } from "../types.js";
import type { RouterDriver, StateView } from "./types.js";

/** What the caller API needs. */
export interface CallerDriverOptions {
  readonly settings: Settings;
  readonly view: StateView;
  readonly metrics: Metrics;
  /** Serves callers once it listens. */
  readonly server: Server;
}

type Waiting =
  | {
      readonly type: "answer";
      readonly writer: AnswerWriter;
      readonly arrivedAt: number;
      lastAt: number;
      delivered: boolean;
    }
  | {
      readonly type: "call";
      readonly res: ServerResponse;
      readonly arrivedAt: number;
    };

interface CallerRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly customer: Customer;
  readonly body: string;
}

const charsPerToken = 4;

const timeoutOf = (req: IncomingMessage, settings: Settings): number => {
  const asked = Number(req.headers["x-request-timeout-ms"] ?? NaN);
  const longest = settings.limits.requestTimeoutMs;
  return Number.isFinite(asked) && asked > 0
    ? Math.min(asked, longest)
    : longest;
};

// Without a configuration no key is known, and a call with an Idempotency-Key may have run elsewhere.
const refusalOfUnknown = (req: IncomingMessage, revision: number): ApiError => {
  if (revision > 0)
    return notRun(ErrorType.Unauthorized, "the caller key is not known");
  const isKeyed = req.headers["idempotency-key"] !== undefined;
  const ran = isKeyed ? Ran.Unknown : Ran.No;
  const message = "this router has no configuration yet";
  return { type: ErrorType.Starting, message, ran, retryAfterS: 1 };
};

/** Serves callers: generations, plain services and the list of models. */
export const createCallerDriver = (
  options: CallerDriverOptions,
): RouterDriver => {
  const { settings, view, metrics, server } = options;
  const channel = createChannel<RouterEvent>();
  const waiting = new Map<string, Waiting>();

  const watchCaller = (res: ServerResponse, requestId: string) => {
    res.on("close", () => {
      if (!waiting.delete(requestId)) return;
      channel.push({ type: "callerLeft", at: now(), requestId });
    });
  };

  const generate = (call: CallerRequest, shape: AnswerShape) => {
    const { req, res, customer, body } = call;
    const parsed = parseGeneration(body, shape);
    if (parsed.type === "err") {
      sendError(res, parsed.error);
      return;
    }
    const { model, prompt, maxTokens, stop, isStreamed } = parsed.value;
    const requestId = randomUUID();
    const at = now();
    const writer = AnswerWriter.create(res, {
      requestId,
      model,
      shape,
      isStreamed,
      promptTokens: Math.ceil(prompt.length / charsPerToken),
      cursorAt: (attempt, offset) =>
        `${requestId}.${String(attempt)}.${String(offset)}`,
    });
    waiting.set(requestId, {
      type: "answer",
      writer,
      arrivedAt: at,
      lastAt: at,
      delivered: false,
    });
    watchCaller(res, requestId);
    const { name, priority } = customer;
    const deadline = at + timeoutOf(req, settings);
    channel.push({
      type: "generationArrived",
      at,
      request: {
        requestId,
        customer: name,
        priority,
        model,
        prompt,
        maxTokens,
        stop,
        deadline,
      },
    });
  };

  const callService = ({ req, res, customer, body }: CallerRequest) => {
    const at = now();
    const service = view().config.services.get(serviceNameOf(req.url ?? ""));
    const longest = service?.timeoutMs ?? Infinity;
    const deadline = at + Math.min(timeoutOf(req, settings), longest);
    const parsed = parseServiceCall(req, { customer, body, deadline });
    if (parsed.type === "err") {
      sendError(res, parsed.error);
      return;
    }
    const request = parsed.value;
    waiting.set(request.call.requestId, { type: "call", res, arrivedAt: at });
    channel.push({ type: "serviceCallArrived", at, request });
  };

  const listModels = ({ res, customer }: CallerRequest) => {
    const { deployments } = view().config.intent;
    const served = deployments.filter(({ customers }) =>
      customers.includes(customer.name),
    );
    const names = [...new Set(served.map(({ model }) => model))];
    const data = names.map((id) => ({ id, object: "model" }));
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({ object: "list", data }));
  };

  const dispatch = (call: CallerRequest) => {
    const { req, res } = call;
    const path = (req.url ?? "").split("?")[0] ?? "";
    if (path.startsWith(servicePrefix)) {
      callService(call);
      return;
    }
    const route = `${req.method ?? ""} ${path}`;
    switch (route) {
      case "GET /v1/models":
        listModels(call);
        return;
      case "POST /v1/chat/completions":
        generate(call, "chat");
        return;
      case "POST /v1/completions":
        generate(call, "completion");
        return;
      default:
        sendError(res, notRun(ErrorType.NotFound, `no such path: ${route}`));
    }
  };

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    metrics.count(Counter.Requests);
    const { config } = view();
    const customer = authenticate(config, req.headers.authorization);
    if (customer === undefined) {
      req.resume();
      sendError(res, refusalOfUnknown(req, config.revision));
      return;
    }
    const body = await readBody(req, settings.limits.bodyBytes);
    if (body.type === "err") {
      res.setHeader("connection", "close");
      sendError(res, body.error);
      return;
    }
    dispatch({ req, res, customer, body: body.value });
  };

  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    serve(req, res).catch(() => res.destroy());
  });

  const deliver = (command: Extract<RouterCommand, { type: "deliver" }>) => {
    const entry = waiting.get(command.requestId);
    if (entry?.type !== "answer") return;
    const at = now();
    metrics.observe(
      entry.delivered ? Latency.BetweenTokens : Latency.FirstToken,
      at - entry.lastAt,
    );
    metrics.count(Counter.Tokens, command.tokens.length);
    entry.lastAt = at;
    entry.delivered = true;
    entry.writer.deliver(command.attempt, command.offset, command.tokens);
  };

  const fail = (requestId: string, error: ApiError) => {
    const entry = waiting.get(requestId);
    if (entry === undefined) return;
    waiting.delete(requestId);
    metrics.count(Counter.Failures);
    if (entry.type === "call") sendError(entry.res, error);
    else entry.writer.fail(error);
  };

  const perform = (command: RouterCommand) => {
    switch (command.type) {
      case "deliver":
        deliver(command);
        return;
      case "finishAnswer": {
        const entry = waiting.get(command.requestId);
        waiting.delete(command.requestId);
        if (entry?.type === "answer")
          entry.writer.finish(command.reason, command.completionTokens);
        return;
      }
      case "failAnswer":
        fail(command.requestId, command.error);
        return;
      case "answerCall": {
        const entry = waiting.get(command.requestId);
        waiting.delete(command.requestId);
        if (entry?.type !== "call") return;
        metrics.count(Counter.ServiceCalls);
        metrics.observe(Latency.ServiceCall, now() - entry.arrivedAt);
        entry.res.writeHead(command.answer.status, {
          "content-type": command.answer.contentType,
        });
        entry.res.end(command.answer.body);
        return;
      }
      default:
    }
  };

  return {
    events: channel.stream,
    perform,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};
