/** Execution of plans by the router that holds the executor role. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  decideExecution,
  type ExecutionCommand,
  type ExecutionEvent,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import { heldLease, releaseLease, requestLease } from "./leaseRoles.js";
import type { EventHandler, RouterStep } from "./types.js";

/** Name of the role whose holder executes plans. */
export const executorRole = "executor";

const toCommands = (command: ExecutionCommand): RouterCommand[] => {
  switch (command.type) {
    case "sendOrder": {
      const { order, fencing } = command;
      const event = {
        topic: TimelineTopic.Configuration,
        name: `${order.type}Ordered`,
        backEnd: order.backEnd,
        revision: fencing,
        detail: `${order.weight.model}:${order.weight.version}`,
      };
      return [
        { type: "execute", command },
        { type: "record", event },
      ];
    }
    case "observe":
    case "commitServing":
    case "report":
      return [{ type: "execute", command }];
    default:
      return assertNever(command);
  }
};

const stepExecution = (
  state: RouterState,
  at: Timestamp,
  event: ExecutionEvent,
): RouterStep => {
  const lease = heldLease(state, executorRole, at);
  const context = {
    at,
    router: state.router.name,
    lease,
    accepted: state.config.accepted,
  };
  const decided = decideExecution(state.execution, context, event);
  return {
    state: { ...state, execution: decided.state },
    commands: decided.commands.flatMap(toCommands),
  };
};

/** Competes for the executor role and observes the engines while holding it. */
export const tickExecution = (
  state: RouterState,
  at: Timestamp,
): RouterStep => {
  const isWanted =
    !state.isDraining &&
    state.config.revision > 0 &&
    state.configSync.isExecutorCandidate;
  const leaseStep = isWanted
    ? requestLease(state, executorRole, at)
    : releaseLease(state, executorRole, at);
  const executionStep = stepExecution(leaseStep.state, at, {
    type: "timerTicked",
  });
  return {
    state: executionStep.state,
    commands: [...leaseStep.commands, ...executionStep.commands],
  };
};

/** Handles an observation of the engines. */
export const enginesObserved: EventHandler<"enginesObserved"> = (
  state,
  { at, observed, bytesPerSecond },
) => stepExecution(state, at, { type: "observed", observed, bytesPerSecond });

/** Handles an engine's answer to an order, or its failure. */
export const orderAnswered: EventHandler<"orderAnswered"> = (
  state,
  { at, order, reason },
) => stepExecution(state, at, { type: "orderAnswered", order, reason });
