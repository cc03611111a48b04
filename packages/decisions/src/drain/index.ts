/** Draining hosts by their deadline. */

export {
  chooseStreamsToMigrate,
  type DrainingStream,
  type MigrationQuery,
} from "./chooseStreamsToMigrate.js";
export {
  updateLeavingHostMarks,
  type LeavingHostMark,
  type LeavingHostMarks,
} from "./leavingHostMarks.js";
