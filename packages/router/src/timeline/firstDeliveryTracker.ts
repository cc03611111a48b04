/** Distinguishes the first delivery of an attempt from later ones. */

const maxTrackedRequestCount = 16_384;

/** Tracks which attempt each open request currently delivers tokens from. */
export class FirstDeliveryTracker {
  private readonly current = new Map<string, number>();

  private constructor() {
    // Created by `create`.
  }

  static create(): FirstDeliveryTracker {
    return new FirstDeliveryTracker();
  }

  /** Records a delivery; returns whether it is the first one since the request changed its attempt. */
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
      if (this.current.size <= maxTrackedRequestCount) return;
      this.current.delete(requestId);
    }
  }
}
