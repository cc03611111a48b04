/** The `check` command: checks settings, intents and platform files. */

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
import { isConfigText } from "@cardamomglade/users-platform/check";
import { checkConfigFile, checkTomlFile } from "./checkPlatformFile.js";

const unreadableFinding = (file: string, message: string): Finding => ({
  file,
  line: 1,
  column: 1,
  pointer: "",
  message,
});

/** Reads and checks a settings file; returns the settings or all findings. */
export const readSettings = async (
  file: string,
): Promise<Result<Settings, readonly Finding[]>> => {
  try {
    return checkDocument(file, await readFile(file, "utf8"), validateSettings);
  } catch {
    return err([unreadableFinding(file, `file "${file}" cannot be read`)]);
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

/** Reads and checks an intent file; returns the intent or all findings. */
export const readIntent = async (
  file: string,
): Promise<Result<Intent, readonly Finding[]>> => {
  try {
    return checkIntentText(file, await readFile(file, "utf8"));
  } catch {
    return err([unreadableFinding(file, `file "${file}" cannot be read`)]);
  }
};

const findingsOf = (
  checked: Result<Settings | Intent, readonly Finding[]>,
): readonly Finding[] => (checked.type === "err" ? checked.error : []);

const checkText = (file: string, text: string): readonly Finding[] => {
  if (file.endsWith(".toml")) return checkTomlFile(file, text);
  if (isConfigText(text)) return checkConfigFile(file, text);
  return isIntentText(text)
    ? findingsOf(checkIntentText(file, text))
    : findingsOf(checkDocument(file, text, validateSettings));
};

const checkFile = async (file: string): Promise<readonly Finding[]> => {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch {
    return [unreadableFinding(file, `file "${file}" cannot be read`)];
  }
  return checkText(file, text);
};

/** Prints one finding per line to stderr. */
export const printFindings = (findings: readonly Finding[]): void => {
  for (const finding of findings) console.error(formatFinding(finding));
};

/** Prints all findings of all files; exit code 1 if there are any. */
export const check = async (files: readonly string[]): Promise<number> => {
  const findings = (await Promise.all(files.map(checkFile))).flat();
  printFindings(findings);
  if (findings.length === 0)
    console.log(`${String(files.length)} file(s) without findings`);
  return findings.length === 0 ? 0 : 1;
};
