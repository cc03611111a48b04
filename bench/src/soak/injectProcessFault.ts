/** Injects a fault of a router's process, of its files, or of callers that take its memory. */

import { setTimeout as sleep } from "node:timers/promises";
import { assertNever } from "@cardamomglade/common";
import {
  leaveAnswersUnread,
  sendLargeBodies,
  sendLateBodies,
} from "./heavyCallers.js";
import { permanentKey, type SoakFleet } from "./soakFleet.js";
import type { SoakRouter } from "./soakRouter.js";
import { soakBounds } from "./soakSettings.js";
import type { ProcessAction, SettingsDamage } from "./types.js";

const signalsPerSeries = 8;
const extraTermCount = 2;
const extraTermDelayMs = 150; // within each drain

/** Runs a restart of a router, unless another fault is restarting it. */
const restart = async (
  router: SoakRouter,
  run: () => Promise<void>,
): Promise<void> => {
  if (router.isRestarting) return;
  router.isRestarting = true;
  await run();
  router.isRestarting = false;
};

const stopAgain = async (router: SoakRouter): Promise<void> => {
  const stopping = router.stop();
  for (let sent = 0; sent < extraTermCount; sent += 1) {
    await sleep(extraTermDelayMs);
    router.signal("SIGTERM");
  }
  await stopping;
};

const sendSeries = async (
  durationMs: number,
  send: () => Promise<void>,
): Promise<void> => {
  for (let sent = 0; sent < signalsPerSeries; sent += 1) {
    await send();
    await sleep(durationMs / signalsPerSeries);
  }
};

/** Restarts a router with a damaged file, which is mended after a time; the process has to outlive it. */
const restartDamaged = async (
  router: SoakRouter,
  durationMs: number,
  damage: () => Promise<void>,
  mend: () => Promise<void>,
): Promise<void> => {
  await router.stop();
  await damage();
  const starting = router.start();
  await sleep(durationMs);
  await mend();
  await starting;
};

const damageWhileRunning = async (
  router: SoakRouter,
  damage: SettingsDamage,
  durationMs: number,
): Promise<void> => {
  await router.damageSettings(damage);
  await router.signalHandled("SIGHUP");
  await sleep(durationMs);
  await router.restoreSettings();
};

/** Injects a fault now; resolves when it is over. */
export const injectProcessFault = async (
  fleet: SoakFleet,
  action: ProcessAction,
  durationMs: number,
): Promise<void> => {
  const router = fleet.routerAt(action.router);
  const target = {
    router,
    routerIndex: action.router,
    key: permanentKey,
    keyVersion: 0,
  };
  switch (action.type) {
    case "routerStopAgain":
      return restart(router, async () => {
        await stopAgain(router);
        await router.start();
      });
    case "routerStopBesideBodies":
      return restart(router, async () => {
        const sending = sendLateBodies(target);
        await sleep(soakBounds.bodiesBeforeStopMs);
        await router.stop();
        await router.start();
        fleet.extraAnswers.push(...(await sending));
      });
    case "routerStartBeside":
      return restart(router, () => router.startBeside());
    case "routerHangUps":
      return sendSeries(durationMs, () => router.signalHandled("SIGHUP"));
    case "routerUserSignals":
      return sendSeries(durationMs, () => router.signalHandled("SIGUSR2"));
    case "settingsDamaged":
      return damageWhileRunning(router, action.damage, durationMs);
    case "settingsDamagedAtStart":
      return restart(router, () =>
        restartDamaged(
          router,
          durationMs,
          () => router.damageSettings(action.damage),
          () => router.restoreSettings(),
        ),
      );
    case "cacheDamaged":
      return restart(router, () =>
        restartDamaged(
          router,
          durationMs,
          () => router.damageCache(),
          () => router.copyBundle(),
        ),
      );
    case "largeBodies":
      if (!router.isInRotation) return;
      fleet.extraAnswers.push(
        ...(await sendLargeBodies(target, action.pace, durationMs)),
      );
      return;
    case "unreadAnswers":
      return leaveAnswersUnread(target, durationMs);
    default:
      return assertNever(action);
  }
};
