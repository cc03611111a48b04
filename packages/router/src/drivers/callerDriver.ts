/** HTTP API for callers. */

import { randomInt, randomUUID } from "node:crypto";
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  createChannel,
  now,
  ok,
  RequestExecuted,
  type Result,
} from "@cardamomglade/common";
import type { Customer, Settings } from "@cardamomglade/schema";
import { authenticate } from "../callers/authenticate.js";
import type { AnswerShape } from "../callers/answerChunks.js";
import {
  checkResume,
  digestRequest,
  type CheckedResume,
} from "../callers/checkResume.js";
import { createCursorSource } from "../callers/createCursorSource.js";
import { emptyTokenDigest } from "../callers/cursor.js";
import { OpenAnswers } from "../callers/openAnswers.js";
import {
  parseGeneration,
  type ParsedGeneration,
} from "../callers/parseGeneration.js";
import {
  parseServiceCall,
  serviceNameOf,
  servicePathPrefix,
} from "../callers/parseServiceCall.js";
import { parseTimeout } from "../callers/parseTimeout.js";
import { sendError } from "../callers/sendError.js";
import { readBody } from "../callers/readBody.js";
import type { OpenBodies } from "../connections/openBodies.js";
import { refuseLongHead } from "../connections/refuseLongHead.js";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import { Counter, Latency, type Metrics } from "../metrics.js";
import type { RouterCommand, RouterCommandOf, RouterEvent } from "../types.js";
import type { RouterDriver, StateView } from "./types.js";

/** Dependencies of the caller API. */
export interface CallerDriverOptions {
  readonly settings: Settings;
  readonly view: StateView;
  readonly metrics: Metrics;
  /** Server that receives the callers' requests; started by the owner. */
  readonly server: Server;
  /** Bodies of requests that are being read. */
  readonly bodies: OpenBodies;
}

interface PendingCall {
  readonly res: ServerResponse;
  readonly arrivedAt: number;
}

interface CallerRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly customer: Customer;
  readonly body: string;
}

const estimatedCharsPerToken = 4;

// A router that resumes a request numbers its attempts from a random multiple of the stride, so that attempts of different routers on one request do not share a number.
const attemptNumberStride = 1000;
const attemptNumberRangeCount = 2 ** 31;

const pickFirstAttempt = (): number =>
  randomInt(1, attemptNumberRangeCount) * attemptNumberStride;

// Before the first configuration no caller key can be checked. A call with an Idempotency-Key may already have been executed through another router, so its result is unknown.
const unknownCallerError = (
  req: IncomingMessage,
  revision: number,
): ApiError => {
  if (revision > 0)
    return notRunError(ErrorType.Unauthorized, "the caller key is not known");
  const hasIdempotencyKey = req.headers["idempotency-key"] !== undefined;
  const ran = hasIdempotencyKey ? RequestExecuted.Unknown : RequestExecuted.No;
  const message = "this router has no configuration yet";
  return { type: ErrorType.Starting, message, ran, retryAfterS: 1 };
};

/** Serves generations, calls of plain services and the list of models. */
export const createCallerDriver = (
  options: CallerDriverOptions,
): RouterDriver => {
  const { settings, view, metrics, server, bodies } = options;
  const channel = createChannel<RouterEvent>();
  const push = (event: RouterEvent) => {
    channel.push(event);
  };
  const pendingCalls = new Map<string, PendingCall>();
  const answers = OpenAnswers.create({
    metrics,
    maxBufferBytes: settings.limits.answerBufferBytes,
    push,
  });

  const checkResumption = (
    { req, customer }: CallerRequest,
    parsed: ParsedGeneration,
    at: number,
  ): Result<CheckedResume | undefined, ApiError> => {
    const eventId = req.headers["last-event-id"];
    if (typeof eventId !== "string") return ok(undefined);
    return checkResume({
      cursorKey: settings.cursorKey,
      eventId,
      customer: customer.name,
      parsed,
      config: view().config,
      at,
      firstAttempt: pickFirstAttempt(),
    });
  };

  const startGeneration = (
    { req, res, customer }: CallerRequest,
    shape: AnswerShape,
    parsed: ParsedGeneration,
    resumption: CheckedResume | undefined,
  ) => {
    const { model, prompt, maxTokens, stop, isStreamed } = parsed;
    const { name, priority } = customer;
    const at = now();
    const requestId = resumption?.cursor.requestId ?? randomUUID();
    const deadline =
      resumption?.cursor.deadline ?? at + parseTimeout(req, settings);
    const cursorAfter = createCursorSource(settings.cursorKey, {
      requestId,
      customer: name,
      request: digestRequest(parsed),
      deadline,
      offset: resumption?.cursor.offset ?? 0,
      digest: resumption?.cursor.digest ?? emptyTokenDigest,
    });
    const promptTokens = Math.ceil(prompt.length / estimatedCharsPerToken);
    answers.open(res, {
      requestId,
      model,
      shape,
      isStreamed,
      promptTokens,
      cursorAfter,
    });
    const request = {
      requestId,
      customer: name,
      priority,
      model,
      prompt,
      maxTokens,
      stop,
      deadline,
      ...(resumption === undefined ? {} : { resumePoint: resumption.point }),
    };
    push({ type: "generationArrived", at, request });
  };

  const generate = (call: CallerRequest, shape: AnswerShape) => {
    const parsed = parseGeneration(call.body, shape);
    if (parsed.type === "err") {
      sendError(call.res, parsed.error);
      return;
    }
    const resumption = checkResumption(call, parsed.value, now());
    if (resumption.type === "err") {
      sendError(call.res, resumption.error);
      return;
    }
    startGeneration(call, shape, parsed.value, resumption.value);
  };

  const callService = ({ req, res, customer, body }: CallerRequest) => {
    const at = now();
    const service = view().config.services.get(serviceNameOf(req.url ?? ""));
    const serviceTimeoutMs = service?.timeoutMs ?? Infinity;
    const deadline =
      at + Math.min(parseTimeout(req, settings), serviceTimeoutMs);
    const parsed = parseServiceCall(req, { customer, body, deadline });
    if (parsed.type === "err") {
      sendError(res, parsed.error);
      return;
    }
    const request = parsed.value;
    pendingCalls.set(request.call.requestId, { res, arrivedAt: at });
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
    if (path.startsWith(servicePathPrefix)) {
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
        sendError(
          res,
          notRunError(ErrorType.NotFound, `no such path: ${route}`),
        );
    }
  };

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    metrics.count(Counter.Requests);
    if (refuseLongHead(req, res, server)) return;
    const { config } = view();
    const customer = authenticate(config, req.headers.authorization);
    if (customer === undefined) {
      req.resume();
      sendError(res, unknownCallerError(req, config.revision));
      return;
    }
    const body = await readBody(req, settings.limits.bodyBytes, bodies);
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

  const fail = (requestId: string, error: ApiError) => {
    const call = pendingCalls.get(requestId);
    pendingCalls.delete(requestId);
    const isFailed = answers.fail(requestId, error);
    if (call !== undefined) sendError(call.res, error);
    if (isFailed || call !== undefined) metrics.count(Counter.Failures);
  };

  const answerCall = (command: RouterCommandOf<"answerCall">) => {
    const call = pendingCalls.get(command.requestId);
    if (call === undefined) return;
    pendingCalls.delete(command.requestId);
    const { status, contentType, body } = command.answer;
    metrics.count(Counter.ServiceCalls);
    metrics.observe(Latency.ServiceCall, now() - call.arrivedAt);
    call.res.writeHead(status, { "content-type": contentType });
    call.res.end(body);
  };

  const perform = (command: RouterCommand) => {
    switch (command.type) {
      case "openAttempt":
        if (command.order.attempt > 0)
          answers.recordResume(command.order.requestId);
        return;
      case "deliver":
        answers.deliver(command);
        return;
      case "finishAnswer":
        answers.finish(command);
        return;
      case "failAnswer":
        fail(command.requestId, command.error);
        return;
      case "answerCall":
        answerCall(command);
        return;
      default:
    }
  };

  return {
    events: channel.stream,
    perform,
    stop: () =>
      new Promise((resolve) => {
        answers.stop();
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};
