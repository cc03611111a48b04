/** Load and configuration changes during a fault-injection run. */

import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import type { RunRecorder } from "../harness/runRecorder.js";

const completionIntervalMs = 250;
const bookingIntervalMs = 400;
const configChangeIntervalMs = 4000;
const minAnswerTokens = 100;
const answerSpreadTokens = 150;
const sendCountPerKey = 3;
const resendDelayMs = 300;

const routerAt = ({ routers }: Fleet, index: number): FleetRouter => {
  const router = routers[index % routers.length];
  if (router === undefined) throw new Error("fleet has no routers");
  return router;
};

/** Sends completion requests until `endsAt`; resolves when all of them have ended. */
export const sendCompletionsUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
): Promise<void> => {
  const requests: Promise<unknown>[] = [];
  for (let index = 0; Date.now() < endsAt; index += 1) {
    requests.push(
      recorder.requestCompletion({
        router: routerAt(fleet, index),
        customer: index % 2,
        prompt: `Contract ${String(index)} of the flower market`,
        maxTokens: minAnswerTokens + ((index * 37) % answerSpreadTokens),
      }),
    );
    await sleep(completionIntervalMs);
  }
  await Promise.all(requests);
};

// Odd indices send the key to all routers at once; even indices resend it after a delay, usually after the first response.
const sendBooking = async (
  fleet: Fleet,
  recorder: RunRecorder,
  index: number,
): Promise<void> => {
  const key = `booking-${String(index)}`;
  const body = JSON.stringify({ trolley: index });
  const sends: Promise<unknown>[] = [];
  for (let send = 0; send < sendCountPerKey; send += 1) {
    const router = routerAt(fleet, index + send);
    sends.push(recorder.sendCall({ router, key, body }));
    if (index % 2 === 0) await sleep(resendDelayMs);
  }
  await Promise.all(sends);
};

/** Sends bookings until `endsAt`, each idempotency key through several routers; resolves when all of them have ended. */
export const sendBookingsUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
): Promise<void> => {
  const sent: Promise<unknown>[] = [];
  for (let index = 0; Date.now() < endsAt; index += 1) {
    sent.push(sendBooking(fleet, recorder, index));
    await sleep(bookingIntervalMs);
  }
  await Promise.all(sent);
};

/** Changes the configuration until `endsAt`; from the second change on, `leavingHost` is marked as leaving. */
export const changeConfigurationUntil = async (
  fleet: Fleet,
  recorder: RunRecorder,
  endsAt: number,
  leavingHost: string,
): Promise<void> => {
  for (let change = 1; Date.now() < endsAt; change += 1) {
    await sleep(configChangeIntervalMs);
    const { intent } = fleet;
    const emptyBy = new Date(Date.now() + configChangeIntervalMs).toISOString();
    const leaving = change > 1 ? [{ host: leavingHost, emptyBy }] : [];
    const customers = intent.customers.map((customer) => ({
      ...customer,
      weight: change,
    }));
    // During an outage of the key-value service the change is not accepted; the next one includes it.
    await recorder
      .putIntent({ ...intent, customers, leaving })
      .catch(() => undefined);
  }
};
