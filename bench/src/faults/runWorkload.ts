/** Callers and operators of a fault run. */

import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import type { RunRecorder } from "../harness/runRecorder.js";

const askEveryMs = 250;
const bookEveryMs = 400;
const changeEveryMs = 4000;
const shortestAnswer = 100;
const answerSpread = 150;
const sendsPerKey = 3;
const repeatAfterMs = 300;

const routerAt = ({ routers }: Fleet, index: number): FleetRouter => {
  const router = routers[index % routers.length];
  if (router === undefined) throw new Error("the fleet has no router");
  return router;
};

/** Asks for answers until a moment; resolves when all have ended. */
export const askUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
): Promise<void> => {
  const asked: Promise<unknown>[] = [];
  for (let index = 0; Date.now() < endsAt; index += 1) {
    asked.push(
      recorder.ask({
        router: routerAt(fleet, index),
        customer: index % 2,
        prompt: `Contract ${String(index)} of the flower market`,
        maxTokens: shortestAnswer + ((index * 37) % answerSpread),
      }),
    );
    await sleep(askEveryMs);
  }
  await Promise.all(asked);
};

// Some repeats go out at once, some after the first answer.
const sendKey = async (
  fleet: Fleet,
  recorder: RunRecorder,
  index: number,
): Promise<void> => {
  const key = `booking-${String(index)}`;
  const body = JSON.stringify({ trolley: index });
  const sends: Promise<unknown>[] = [];
  for (let send = 0; send < sendsPerKey; send += 1) {
    const router = routerAt(fleet, index + send);
    sends.push(recorder.call({ router, key, body }));
    if (index % 2 === 0) await sleep(repeatAfterMs);
  }
  await Promise.all(sends);
};

/** Books until a moment, each key at several routers; resolves when all have ended. */
export const bookUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
): Promise<void> => {
  const sent: Promise<unknown>[] = [];
  for (let index = 0; Date.now() < endsAt; index += 1) {
    sent.push(sendKey(fleet, recorder, index));
    await sleep(bookEveryMs);
  }
  await Promise.all(sent);
};

/** Changes the configuration until a moment; the second change empties a host. */
export const changeUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
  leavingHost: string,
): Promise<void> => {
  for (let change = 1; Date.now() < endsAt; change += 1) {
    await sleep(changeEveryMs);
    const { intent } = fleet;
    const emptyBy = new Date(Date.now() + changeEveryMs).toISOString();
    const leaving = change > 1 ? [{ host: leavingHost, emptyBy }] : [];
    const customers = intent.customers.map((customer) => ({
      ...customer,
      weight: change,
    }));
    // During an outage the change is not accepted; the next one carries it.
    await recorder
      .putIntent({ ...intent, customers, leaving })
      .catch(() => undefined);
  }
};
