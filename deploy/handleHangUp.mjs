// Has to be loaded before anything else. A SIGHUP ends a process without a handler; the settings are
// read after this, so nothing is lost.
process.on("SIGHUP", () => undefined);
