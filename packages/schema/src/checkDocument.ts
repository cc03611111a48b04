/** Parses and validates a JSON document; collects every finding with its line and column. */

import type { ErrorObject, ValidateFunction } from "ajv";
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from "jsonc-parser";
import { err, ok, type Result } from "@cardamomglade/common";
import type { Finding } from "./findings.js";
import { nearestName } from "./nearestName.js";

interface Position {
  readonly line: number;
  readonly column: number;
}

/** Line and column of an offset, both counted from 1. */
export const positionOf = (text: string, offset: number): Position => {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1) ?? "").length + 1 };
};

/** Returns a function that finds positions in a text, for many of them. */
export const positionsIn = (text: string): ((offset: number) => Position) => {
  const lineStarts = [0];
  for (const { index } of text.matchAll(/\n/g)) lineStarts.push(index + 1);
  return (offset) => {
    let low = 0;
    let high = lineStarts.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if ((lineStarts[middle] ?? 0) <= offset) low = middle;
      else high = middle - 1;
    }
    return { line: low + 1, column: offset - (lineStarts[low] ?? 0) + 1 };
  };
};

const pathOf = (pointer: string): (string | number)[] =>
  pointer
    .split("/")
    .slice(1)
    .map((segment) => segment.replaceAll("~1", "/").replaceAll("~0", "~"))
    .map((segment) => (/^\d+$/.test(segment) ? Number(segment) : segment));

/** Syntax tree node at a JSON pointer. */
export const nodeAt = (
  tree: Node | undefined,
  pointer: string,
): Node | undefined =>
  tree === undefined ? undefined : findNodeAtLocation(tree, pathOf(pointer));

const propertyOffset = (node: Node | undefined, key: string) =>
  node?.children?.find((child) => child.children?.[0]?.value === key)?.offset;

const knownKeys = (error: ErrorObject): string[] => {
  const parent = error.parentSchema as { properties?: object } | undefined;
  return Object.keys(parent?.properties ?? {});
};

const formatValues = (value: unknown): string =>
  Array.isArray(value) ? value.map(String).join(", ") : String(value);

const messageOf = (error: ErrorObject): string => {
  const params = error.params as Record<string, unknown>;
  switch (error.keyword) {
    case "additionalProperties": {
      const key = String(params.additionalProperty);
      const nearest = nearestName(key, knownKeys(error));
      const suggestion =
        nearest === undefined ? "" : `; nearest known is "${nearest}"`;
      return `unknown key "${key}"${suggestion}`;
    }
    case "required":
      return `key "${String(params.missingProperty)}" is missing`;
    case "enum":
      return `expected one of ${formatValues(params.allowedValues)}`;
    case "const":
      return `expected ${JSON.stringify(params.allowedValue)}`;
    case "type":
      return `expected ${formatValues(params.type)}`;
    default:
      return `expected: ${error.message ?? error.keyword}`;
  }
};

const toFinding = (
  file: string,
  text: string,
  tree: Node | undefined,
  error: ErrorObject,
): Finding => {
  const node = nodeAt(tree, error.instancePath);
  const params = error.params as Record<string, unknown>;
  const key = params.additionalProperty;
  const propertyStart =
    typeof key === "string" ? propertyOffset(node, key) : undefined;
  const offset = propertyStart ?? node?.offset ?? 0;
  const pointer =
    typeof key === "string"
      ? `${error.instancePath}/${key}`
      : error.instancePath;
  return {
    file,
    ...positionOf(text, offset),
    pointer,
    message: messageOf(error),
  };
};

const syntaxFinding = (
  file: string,
  text: string,
  error: ParseError,
): Finding => ({
  file,
  ...positionOf(text, error.offset),
  pointer: "",
  message: `JSON syntax: ${printParseErrorCode(error.error)}`,
});

const checkText = <T>(
  file: string,
  text: string,
  validate: ValidateFunction<T>,
): Result<T, readonly Finding[]> => {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { disallowComments: true });
  if (errors.length > 0) {
    return err(errors.map((error) => syntaxFinding(file, text, error)));
  }
  if (validate(value)) return ok(value);
  const tree = parseTree(text);
  const errorObjects = validate.errors ?? [];
  return err(errorObjects.map((error) => toFinding(file, text, tree, error)));
};

/** The validated document with defaults filled in, or all findings. */
export const checkDocument = <T>(
  file: string,
  text: string,
  validate: ValidateFunction<T>,
): Result<T, readonly Finding[]> => {
  try {
    return checkText(file, text, validate);
  } catch (error) {
    // The parser is recursive; a deeply nested document overflows the stack.
    if (!(error instanceof RangeError)) throw error;
    const message = "the document is nested too deeply";
    return err([{ file, line: 1, column: 1, pointer: "", message }]);
  }
};
