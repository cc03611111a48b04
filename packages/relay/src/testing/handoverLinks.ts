/** Test harness: requests that routers of a fleet hand on to each other. */

import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import { AttemptFailure, type ResponseHead } from "../decisions/types.js";
import type { VirtualClock } from "./virtualClock.js";
import { okHead } from "./scenario.js";

type HandOnCommand = Extract<RelayCommand, { readonly type: "handOn" }>;

/** A request at the router that took it over, and where it came from. */
interface Link {
  readonly origin: string;
  readonly key: string;
  readonly attempt: number;
  readonly helper: string;
}

const hopMs = 1;
const unknownOutcomeStatuses = [502, 504];

/** The requests that were handed on, by their keys at the routers that took them over. */
export class HandoverLinks {
  private readonly links = new Map<string, Link>();

  private constructor(
    private readonly clock: VirtualClock,
    private readonly dispatch: (router: string, event: RelayEvent) => void,
  ) {}

  static create(
    clock: VirtualClock,
    dispatch: (router: string, event: RelayEvent) => void,
  ): HandoverLinks {
    return new HandoverLinks(clock, dispatch);
  }

  /** Takes a request from one router to another; it fails if there is none. */
  handOn(
    origin: string,
    helper: string | undefined,
    command: HandOnCommand,
  ): void {
    const { key, attempt, request, handover, deadline, lastEventId } = command;
    if (helper === undefined) {
      this.fail({ origin, key, attempt, helper: "" }, AttemptFailure.NotSent);
      return;
    }
    const helperKey = `${origin}/${key}/${String(attempt)}`;
    this.links.set(helperKey, { origin, key, attempt, helper });
    this.clock.later(hopMs, () => {
      if (!this.links.has(helperKey)) return;
      const at = this.clock.now();
      this.dispatch(helper, {
        type: "requestArrived",
        at,
        key: helperKey,
        request: {
          ...request,
          lastEventId,
          arrivedAt: at,
          callerDeadline: deadline,
          handover: { ...handover, from: "10.1.0.1" },
        },
      });
    });
  }

  /** Closes the connection of a request that was handed on. */
  abandon(origin: string, key: string, attempt: number): void {
    const helperKey = `${origin}/${key}/${String(attempt)}`;
    const link = this.links.get(helperKey);
    if (link === undefined) return;
    this.links.delete(helperKey);
    this.clock.later(hopMs, () => {
      const at = this.clock.now();
      this.dispatch(link.helper, {
        type: "callerDisconnected",
        at,
        key: helperKey,
      });
    });
  }

  /** Breaks all connections of routers that are lost. */
  breakAt(helper: string): void {
    for (const [key, link] of [...this.links]) {
      if (link.helper !== helper) continue;
      this.links.delete(key);
      this.fail(link, AttemptFailure.Broken);
    }
  }

  /** Passes what a router sends for a request that it took over; returns whether it is one. */
  handBack(command: RelayCommand): boolean {
    if (!("key" in command)) return false;
    const link = this.links.get(command.key);
    if (link === undefined) return false;
    const { key, attempt } = link;
    switch (command.type) {
      case "deliverResponse":
        this.end(command.key);
        this.later(link, {
          type: "responseReceived",
          key,
          attempt,
          at: 0,
          answer: command.answer,
        });
        return true;
      case "startStream":
        this.later(link, {
          type: "streamStarted",
          key,
          attempt,
          at: 0,
          head: command.head,
        });
        return true;
      case "deliverEvents":
        this.later(link, {
          type: "eventsArrived",
          key,
          attempt,
          at: 0,
          events: command.events,
        });
        return true;
      case "finishStream":
        this.end(command.key);
        this.later(link, { type: "streamEnded", key, attempt, at: 0 });
        return true;
      case "abortStream":
        this.end(command.key);
        this.fail(link, AttemptFailure.Broken);
        return true;
      case "refuse":
        this.end(command.key);
        this.refuse(link, command);
        return true;
      default:
        return false;
    }
  }

  private refuse(
    link: Link,
    {
      status,
      retryAfterMs,
      handoverRefusal,
    }: Extract<RelayCommand, { readonly type: "refuse" }>,
  ): void {
    if (unknownOutcomeStatuses.includes(status)) {
      this.fail(link, AttemptFailure.Malformed);
      return;
    }
    const { key, attempt } = link;
    const head: ResponseHead = okHead({
      status,
      isNotExecuted: true,
      handedBack: { refusal: handoverRefusal, retryAfterMs },
    });
    const answer = { head, body: new Uint8Array() };
    this.later(link, { type: "responseReceived", key, attempt, at: 0, answer });
  }

  private end(helperKey: string): void {
    this.links.delete(helperKey);
  }

  private later({ origin }: Link, event: RelayEvent): void {
    this.clock.later(hopMs, () => {
      this.dispatch(origin, { ...event, at: this.clock.now() });
    });
  }

  private fail(link: Link, failure: AttemptFailure): void {
    const { key, attempt } = link;
    this.later(link, {
      type: "attemptFailed",
      key,
      attempt,
      at: 0,
      failure,
      detail: "",
    });
  }
}
