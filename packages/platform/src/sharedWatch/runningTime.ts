/** Time limits for what others answer: time in which this process stood still does not count. */

const tickCount = 8;

/** Calls back once this process ran for a time; a stop counts as an eighth of it. Returns a function that cancels it. */
export const afterRunningTime = (
  limitMs: number,
  onPassed: () => void,
): (() => void) => {
  let leftCount = tickCount;
  // An interval that is due several times at once is called once.
  const timer = setInterval(() => {
    leftCount -= 1;
    if (leftCount > 0) return;
    clearInterval(timer);
    onPassed();
  }, limitMs / tickCount);
  return () => {
    clearInterval(timer);
  };
};
