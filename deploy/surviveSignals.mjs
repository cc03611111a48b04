// Has to be loaded before anything else: without a handler these signals end a process. The settings
// are read after this, so the SIGHUP that asks for them is not lost.
import { unusedSignals } from "../platform/src/lifecycle/unusedSignals.ts";

for (const signal of ["SIGHUP", ...unusedSignals])
  process.on(signal, () => undefined);
