/** Challenge-response proof that a router knows the shared secret. */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Which end of a link a router is. */
export enum LinkSide {
  Dialer = "dialer",
  Listener = "listener",
}

/** Values that a proof is bound to: both routers, the prover's end of the link, and both nonces. */
export interface ProofInput {
  readonly side: LinkSide;
  readonly prover: string;
  readonly verifier: string;
  readonly proverNonce: string;
  readonly verifierNonce: string;
}

const nonceBytes = 24;

/** Creates a random nonce. */
export const createNonce = (): string =>
  randomBytes(nonceBytes).toString("base64url");

/** Computes the HMAC of the input under the shared secret. */
export const createProof = (secret: string, input: ProofInput): string => {
  const { side, prover, verifier, proverNonce, verifierNonce } = input;
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

/** Whether a proof matches the input. The comparison takes constant time. */
export const isValidProof = (
  proof: string,
  secret: string,
  input: ProofInput,
): boolean => {
  const expected = Buffer.from(createProof(secret, input));
  const given = Buffer.from(proof);
  return given.length === expected.length && timingSafeEqual(given, expected);
};

/** Returns the opposite end. */
export const otherSide = (side: LinkSide): LinkSide =>
  side === LinkSide.Dialer ? LinkSide.Listener : LinkSide.Dialer;
