/** Switches Roarr on: it decides while it loads, so this module is imported before it. */

process.env.ROARR_LOG ??= "true";
