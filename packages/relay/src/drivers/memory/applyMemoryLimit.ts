/** Applies the memory of the machine to this process. */

import { budgetBytesOf } from "../../decisions/memory/budgetBytes.js";
import { memoryBudget } from "./memoryBudget.js";
import { memoryGuard } from "./memoryGuard.js";

/** Applies the memory beyond which this process is killed; undefined if it is not known. */
export const applyMemoryLimit = (memoryMb: number | undefined): void => {
  const budgetBytes = budgetBytesOf(memoryMb);
  memoryBudget.setMaxBytes(budgetBytes);
  memoryGuard.applyLimit(memoryMb, budgetBytes);
};
