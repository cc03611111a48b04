/** Types of the relay's drivers. */

import type { Driver } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";

/** Turns I/O into relay events and performs relay commands. */
export type RelayDriver = Driver<RelayEvent, RelayCommand>;
