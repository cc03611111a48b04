/** Exhaustiveness check for switch statements over discriminated unions. */

/** Fails to compile if a union member is not handled; throws if reached at run time. */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value ${JSON.stringify(value)}`);
};
