/** The `route` command: runs a router. */

import { createRouter } from "@cardamomglade/router";
import { printFindings, readSettings } from "./check.js";

/** Runs a router from a settings file until it is drained or fails; invalid settings are printed instead. */
export const route = async (file: string): Promise<number> => {
  const settings = await readSettings(file);
  if (settings.type === "err") {
    printFindings(settings.error);
    return 1;
  }
  const router = await createRouter(settings.value);
  return new Promise((resolve) => {
    const drain = () => {
      void router.drain().then(() => {
        resolve(0);
      });
    };
    const stopAfterFailure = () => {
      void router.stop().then(() => {
        resolve(1);
      });
    };
    void router.failed.then(stopAfterFailure);
    process.once("SIGTERM", drain);
    process.once("SIGINT", drain);
  });
};
