/**
 * Deadlines of what another process is to send. Load pattern: a process that is held up, by its
 * machine or by much work at once; its timers run before it reads what has arrived meanwhile.
 */

import { now, type Timestamp } from "@cardamomglade/common";

/** Acts after a deadline, once what had arrived by then has been read; returns how to give it up. */
export const whenOverdue = (at: Timestamp, act: () => void): (() => void) => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(act);
  }, at - now());
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
};
