/** Command line of the benches: one experiment each. */

import { cac } from "cac";

const cli = cac("bench");
cli.help();
cli.parse();
