/** Runs the router daemon. */

import { createRouter } from "@cardamomglade/router";
import { printFindings, readSettings } from "./check.js";

/** Starts a router from a settings file; starts nothing where the settings have findings. */
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
    const abandon = () => {
      void router.stop().then(() => {
        resolve(1);
      });
    };
    void router.failed.then(abandon);
    process.once("SIGTERM", drain);
    process.once("SIGINT", drain);
  });
};
