/**
 * Asks other routers for a repeat. Load pattern: a large fleet in which each
 * router has two or three streams and a part of the fleet's repeats as small;
 * a wave takes all streams of some routers and none of others.
 */

import { Severity } from "@cardamomglade/observe";
import { borrowRounds, borrowWaitMs, routersAsked } from "./constants.js";
import { failExchange } from "./endExchange.js";
import { random } from "./random.js";
import type { RelayCommand } from "./commands.js";
import type { Exchange, RelayState, RouterAddress } from "./types.js";

/** Some other routers, at random. */
const otherRouters = (state: RelayState): RouterAddress[] => {
  const { registration, router, address } = state;
  if (address === undefined) return [];
  const rest = [...registration.routers]
    .filter(([name]) => name !== router)
    .map(([, other]) => other)
    .filter((other) => other !== undefined);
  const chosen: RouterAddress[] = [];
  while (chosen.length < routersAsked && rest.length > 0)
    chosen.push(...rest.splice(Math.floor(random(state) * rest.length), 1));
  return chosen;
};

/** Waits for a repeat of another router, or gives up when enough were asked. */
export const borrowRepeat = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { service, request } = exchange;
  const rounds = (exchange.borrowing?.rounds ?? 0) + 1;
  const others = rounds > borrowRounds ? [] : otherRouters(state);
  if (others.length === 0)
    return failExchange(state, exchange, `${reason}; no repeat is left`);
  exchange.borrowing = { reason, rounds, until: state.at + borrowWaitMs };
  return [
    ...others.map((to): RelayCommand => ({ type: "askRepeat", to, service })),
    {
      type: "log",
      severity: Severity.Info,
      message: "repeat asked of other routers",
      context: {
        requestId: request.requestId,
        service,
        rounds,
        asked: others.length,
        routers: state.registration.routers.size,
      },
    },
  ];
};
