// Has to be loaded before anything else: without a handler these signals end a process. A signal that
// comes before the relay's own handlers are registered stays pending until then, so none is lost:
// the start up to there is one turn of the event loop.
import { unusedSignals } from "../platform/src/lifecycle/unusedSignals.ts";

for (const signal of ["SIGTERM", "SIGINT", "SIGHUP", ...unusedSignals])
  process.on(signal, () => undefined);
