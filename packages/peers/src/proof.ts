/** Proof that a router knows the shared secret. */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Which end of a link a router is. */
export enum LinkSide {
  Dialer = "dialer",
  Listener = "listener",
}

/** What a proof binds: who proves it to whom, on which end, with both nonces. */
export interface ProofClaim {
  readonly side: LinkSide;
  readonly prover: string;
  readonly verifier: string;
  readonly proverNonce: string;
  readonly verifierNonce: string;
}

const nonceBytes = 24;

/** A fresh nonce. */
export const createNonce = (): string =>
  randomBytes(nonceBytes).toString("base64url");

/** HMAC of a claim under the shared secret. */
export const createProof = (secret: string, claim: ProofClaim): string => {
  const { side, prover, verifier, proverNonce, verifierNonce } = claim;
  const text = JSON.stringify([
    "cardamomglade-peer",
    side,
    prover,
    verifier,
    proverNonce,
    verifierNonce,
  ]);
  return createHmac("sha256", secret).update(text).digest("base64url");
};

/** Whether a proof is the claim's, compared in constant time. */
export const isProofOf = (
  proof: string,
  secret: string,
  claim: ProofClaim,
): boolean => {
  const expected = Buffer.from(createProof(secret, claim));
  const given = Buffer.from(proof);
  return given.length === expected.length && timingSafeEqual(given, expected);
};

/** The other end. */
export const otherSide = (side: LinkSide): LinkSide =>
  side === LinkSide.Dialer ? LinkSide.Listener : LinkSide.Dialer;
