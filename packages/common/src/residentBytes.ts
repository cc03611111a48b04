/** Resident memory of this process. */

const bytesPerKiB = 1024;

/** Bytes of resident memory; without a free descriptor to read them with, the peak so far. */
export const residentBytes = (): number => {
  try {
    return process.memoryUsage.rss();
  } catch {
    return process.resourceUsage().maxRSS * bytesPerKiB;
  }
};
