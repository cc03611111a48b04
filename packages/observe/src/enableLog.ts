/** Enables Roarr, which reads ROARR_LOG when it is loaded; import this module before it. */

process.env.ROARR_LOG ??= "true";
