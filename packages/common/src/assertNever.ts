/** Exhaustiveness check for switches over discriminated unions. */

/** Fails to compile where a union member is not handled; throws if reached. */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value ${JSON.stringify(value)}`);
};
