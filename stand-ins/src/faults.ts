/** Injected faults: posted as JSON, looked up at the places where they take effect. */

/** A fault; it expires at the time `until` (milliseconds since the epoch) or after it has taken effect `count` times. */
export type Fault = FaultKind & {
  readonly until?: number;
  readonly count?: number;
};

/** When a service closes the connection of a call; `keepAlive` closes it when the next call arrives on it. */
export type CloseStage =
  "beforeRun" | "beforeHeaders" | "midBody" | "afterAnswer" | "keepAlive";

type FaultKind =
  | { readonly type: "crash" }
  | { readonly type: "freeze"; readonly forMs: number }
  | { readonly type: "slow"; readonly factor: number }
  | { readonly type: "delay"; readonly path?: string; readonly byMs: number }
  | { readonly type: "outage" }
  | { readonly type: "dropAnswer"; readonly path?: string }
  | {
      readonly type: "refuse";
      readonly path?: string;
      readonly status?: number;
    }
  | { readonly type: "dropConnections"; readonly fromPort: number }
  | { readonly type: "reportLag"; readonly byMs: number }
  | { readonly type: "cacheGaps"; readonly every: number }
  | { readonly type: "fencing"; readonly mode: "check" | "ignore" }
  | { readonly type: "stall" }
  | {
      readonly type: "close";
      readonly path?: string;
      readonly stage: CloseStage;
    }
  | { readonly type: "trickle"; readonly everyMs: number }
  | { readonly type: "wrongOffset" }
  | { readonly type: "wrongVersion" };

/** Name of a fault type. */
export type FaultType = FaultKind["type"];

type FaultOf<T extends FaultType> = Extract<Fault, { type: T }>;

interface ActiveFault {
  readonly fault: Fault;
  remainingCount: number;
}

/** The active faults of one stand-in. */
export class Faults {
  private active: ActiveFault[] = [];

  private constructor() {
    // Created by `create`.
  }

  static create(): Faults {
    return new Faults();
  }

  add(fault: Fault): void {
    this.active.push({ fault, remainingCount: fault.count ?? Infinity });
  }

  clear(): void {
    this.active = [];
  }

  list(): Fault[] {
    return this.active.map(({ fault }) => fault);
  }

  /** The first active fault of a type; does not count as an effect. */
  peek<T extends FaultType>(type: T, path?: string): FaultOf<T> | undefined {
    return this.find(type, path)?.fault as FaultOf<T> | undefined;
  }

  /** The first active fault of a type; counts as one effect. */
  consume<T extends FaultType>(type: T, path?: string): FaultOf<T> | undefined {
    const found = this.find(type, path);
    if (found === undefined) return undefined;
    found.remainingCount -= 1;
    return found.fault as FaultOf<T>;
  }

  private find(type: FaultType, path?: string): ActiveFault | undefined {
    const now = Date.now();
    this.active = this.active.filter(
      ({ fault, remainingCount }) =>
        remainingCount > 0 && (fault.until ?? Infinity) > now,
    );
    return this.active.find(
      ({ fault }) => fault.type === type && matchesPath(fault, path),
    );
  }
}

const matchesPath = (fault: Fault, path?: string): boolean => {
  if (path === undefined || !("path" in fault)) return true;
  return path.startsWith(fault.path ?? "");
};

// Blocks the whole process, as if the machine were paused.
const blockProcess = (forMs: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
};

const crashExitCode = 137;

/** Applies faults that take effect as soon as they are posted. */
export const applyImmediately = (fault: Fault): void => {
  if (fault.type === "crash") process.exit(crashExitCode);
  if (fault.type === "freeze")
    setTimeout(() => {
      blockProcess(fault.forMs);
    }, 1);
};
