/** Settings files of the routers of a soak test, as the platform writes them. */

/** Settings of a router and where it keeps its files. */
export interface SoakRouterOptions {
  readonly index: number;
  readonly zone: string;
  /** Loopback address that only this router uses. */
  readonly ip: string;
  /** Port at which this router connects to the store (a fault proxy). */
  readonly storePort: number;
  readonly folder: string;
  /** Memory limit of the machine. */
  readonly memoryMb: number;
}

/** Time, retry and descriptor limits of the system under test; the checks use the same values. */
export const soakBounds = {
  drainTimeoutMs: 2000,
  graceMs: 8000,
  /** A stream that was sent whole within that time of SIGTERM may be cut at the end of the stop. */
  earlyInStopMs: 3000,
  /** From then on in a stop, such a stream has to be at work: the last sixth. */
  lastSixthMs: (5 / 6) * 8000,
  /** How long callers send late bodies before SIGTERM. */
  bodiesBeforeStopMs: 500,
  /** How soon a connection has to close if a request on it gets no answer in a planned stop. */
  lossSlackMs: 200,
  maxContactAgeMs: 3000,
  /** How long two runs of a request may be at work. */
  sharedWorkMs: 400,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  retryBudgetRatio: 0.8,
  extraRetryCount: 60,
  retryWindowMs: 10_000,
  maxDescriptors: 4100,
  fileDescriptors: 200,
} as const;

/** Port of the addresses that callers connect to. */
export const frontPort = 8740;
/** Port of the readiness probe. */
export const readinessPort = 8749;
const peerPort = 7200;
const peerPortCount = 16;

/** Returns the text of a settings file. */
export const soakSettings = (
  { index, zone, ip, storePort, memoryMb }: SoakRouterOptions,
  extraRetryCount: number,
): string => `node_name = "router-${String(index)}"
ip = "${ip}"
zone = "${zone}"
internal_port_range = [${String(peerPort)}, ${String(peerPort + peerPortCount - 1)}]
[listen]
front = "${ip}:${String(frontPort)}"
readiness = "${ip}:${String(readinessPort)}"
[limits]
memory_mb = ${String(memoryMb)}
max_fds = ${String(soakBounds.maxDescriptors)}
[bounds]
drain_timeout_ms = ${String(soakBounds.drainTimeoutMs)}
grace_period_s = ${String(soakBounds.graceMs / 1000)}
retry_budget_ratio = ${String(soakBounds.retryBudgetRatio)}
budget_window_s = ${String(soakBounds.retryWindowMs / 1000)}
budget_extra_retries = ${String(extraRetryCount)}
[platform]
address = "127.0.0.1:${String(storePort)}"
`;
