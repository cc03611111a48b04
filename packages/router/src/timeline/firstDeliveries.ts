/** Tells the first delivery of an attempt from its later ones. */

const maxKnown = 16_384;

/** The attempt that each open request delivers from. */
export class FirstDeliveries {
  private readonly current = new Map<string, number>();

  private constructor() {
    // Created by `create`.
  }

  static create(): FirstDeliveries {
    return new FirstDeliveries();
  }

  /** Whether this is the first delivery since the request changed its attempt. */
  isFirst(requestId: string, attempt: number): boolean {
    if (this.current.get(requestId) === attempt) return false;
    this.current.delete(requestId);
    this.current.set(requestId, attempt);
    this.forgetOldest();
    return true;
  }

  forget(requestId: string): void {
    this.current.delete(requestId);
  }

  private forgetOldest(): void {
    for (const requestId of this.current.keys()) {
      if (this.current.size <= maxKnown) return;
      this.current.delete(requestId);
    }
  }
}
