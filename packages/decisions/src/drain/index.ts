/** Draining hosts by their deadline. */

export {
  chooseMoves,
  type LeavingStream,
  type MigrationQuery,
} from "./chooseStreamsToMigrate.js";
export {
  readHostMarks,
  type LeavingHostMark,
  type HostMarks,
} from "./leavingHostMarks.js";
