/** Emptying hosts on time. */

export {
  chooseMoves,
  type LeavingStream,
  type MoveQuery,
} from "./chooseMoves.js";
export { readHostMarks, type HostMark, type HostMarks } from "./hostMarks.js";
