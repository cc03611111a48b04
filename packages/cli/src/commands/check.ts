/** Checks settings and intent files. */

import { readFile } from "node:fs/promises";
import { err, type Result } from "@cardamomglade/common";
import { checkIntent } from "@cardamomglade/router";
import {
  checkDocument,
  formatFinding,
  locateFindings,
  validateIntent,
  validateSettings,
  type Finding,
  type Intent,
  type Settings,
} from "@cardamomglade/schema";

const unreadable = (file: string, message: string): Finding => ({
  file,
  line: 1,
  column: 1,
  pointer: "",
  message,
});

/** Checked settings of a file, or all findings. */
export const readSettings = async (
  file: string,
): Promise<Result<Settings, readonly Finding[]>> => {
  try {
    return checkDocument(file, await readFile(file, "utf8"), validateSettings);
  } catch {
    return err([unreadable(file, `file "${file}" cannot be read`)]);
  }
};

const isIntentText = (text: string): boolean =>
  /"(customers|deployments|backEnds)"\s*:/.test(text);

const checkIntentText = (
  file: string,
  text: string,
): Result<Intent, readonly Finding[]> => {
  const checked = checkDocument(file, text, validateIntent);
  if (checked.type === "err") return checked;
  const faults = checkIntent(checked.value);
  return faults.length === 0
    ? checked
    : err(locateFindings(file, text, faults));
};

/** A checked intent of a file, or all findings. */
export const readIntent = async (
  file: string,
): Promise<Result<Intent, readonly Finding[]>> => {
  try {
    return checkIntentText(file, await readFile(file, "utf8"));
  } catch {
    return err([unreadable(file, `file "${file}" cannot be read`)]);
  }
};

const checkFile = async (
  file: string,
): Promise<Result<Settings | Intent, readonly Finding[]>> => {
  try {
    const text = await readFile(file, "utf8");
    return isIntentText(text)
      ? checkIntentText(file, text)
      : checkDocument(file, text, validateSettings);
  } catch {
    return err([unreadable(file, `file "${file}" cannot be read`)]);
  }
};

/** Prints findings, one a line. */
export const printFindings = (findings: readonly Finding[]): void => {
  for (const finding of findings) console.error(formatFinding(finding));
};

/** Reports every finding of every file; exit code 1 where there is one. */
export const check = async (files: readonly string[]): Promise<number> => {
  const results = await Promise.all(files.map(checkFile));
  const findings = results.flatMap((result) =>
    result.type === "err" ? result.error : [],
  );
  printFindings(findings);
  if (findings.length === 0)
    console.log(`${String(files.length)} file(s) without findings`);
  return findings.length === 0 ? 0 : 1;
};
