/** Returns the function that Node wraps around a CommonJS module. */
export const wrapProgram = (program) =>
  `(function (require, module, exports) {${program.toString()}\n})`;
