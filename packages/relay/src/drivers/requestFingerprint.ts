/** Recognizes repeats of a request: attempts of its caller have an id each. */

import { createHash } from "node:crypto";

/** What a repeat of a request has in common with it, besides the body. */
export interface RequestHead {
  readonly method: string;
  readonly hostname: string;
  readonly target: string;
  readonly key: string | undefined;
}

const fingerprintLength = 16; // hex digits; 64 bits tell apart all requests that are remembered

/** Digest of a request, made while its body arrives. */
export class RequestFingerprint {
  private readonly hash = createHash("sha256");

  private constructor({ method, hostname, target, key }: RequestHead) {
    this.hash.update(JSON.stringify([method, hostname, target, key ?? null]));
  }

  static create(head: RequestHead): RequestFingerprint {
    return new RequestFingerprint(head);
  }

  /** Adds the next bytes of the body. */
  add(chunk: Uint8Array): void {
    this.hash.update(chunk);
  }

  /** Returns the digest in hex; nothing can be added after it. */
  digest(): string {
    return this.hash.digest("hex").slice(0, fingerprintLength);
  }
}
