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
import {
  compareConfigTexts,
  FindingLevel,
  isConfigText,
  repeatSettingsOf,
  type RepeatSettings,
} from "@cardamomglade/users-platform/check";
import { checkConfigFile, checkTomlFile } from "./checkPlatformFile.js";
import {
  CheckExitCode,
  exitCodeOf,
  formatJson,
  printText,
  type CheckedFinding,
  type CheckReport,
} from "./checkReport.js";

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

const withLevel = (finding: Finding): CheckedFinding => ({
  ...finding,
  level: FindingLevel.Error,
});

const checkText = (
  file: string,
  text: string,
  settings: RepeatSettings | undefined,
): readonly CheckedFinding[] => {
  if (file.endsWith(".toml")) return checkTomlFile(file, text).map(withLevel);
  if (isConfigText(text)) return checkConfigFile(file, text, settings);
  const findings = isIntentText(text)
    ? findingsOf(checkIntentText(file, text))
    : findingsOf(checkDocument(file, text, validateSettings));
  return findings.map(withLevel);
};

/** A file, and what was read of it; the text is undefined if it could not be. */
export interface ReadFile {
  readonly file: string;
  readonly text: string | undefined;
}

const readText = async (file: string): Promise<ReadFile> => {
  try {
    return { file, text: await readFile(file, "utf8") };
  } catch {
    return { file, text: undefined };
  }
};

/** Findings of one file; what cannot be checked, such as a text nested too deeply, is one. */
export const checkRead = (
  { file, text }: ReadFile,
  settings?: RepeatSettings,
): readonly CheckedFinding[] => {
  if (text === undefined)
    return [
      withLevel(unreadableFinding(file, `file "${file}" cannot be read`)),
    ];
  try {
    return checkText(file, text, settings);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return [
      withLevel(unreadableFinding(file, `it cannot be checked: ${detail}`)),
    ];
  }
};

/** Prints one finding per line to stderr. */
export const printFindings = (findings: readonly Finding[]): void => {
  for (const finding of findings) console.error(formatFinding(finding));
};

/** Flags of the command. */
export interface CheckFlags {
  readonly format?: unknown;
  /** Configuration in force. */
  readonly against?: unknown;
}

/** Compares the configuration among the files with the one in force. */
const compareWith = async (
  against: string,
  files: readonly ReadFile[],
): Promise<Pick<CheckReport, "findings" | "changes">> => {
  const before = await readText(against);
  if (before.text === undefined)
    return { findings: checkRead(before), changes: undefined };
  const configs = files.filter(({ text }) => text && isConfigText(text));
  const [config] = configs;
  const changes =
    configs.length === 1 && config?.text !== undefined
      ? compareConfigTexts(before.text, config.text)
      : undefined;
  if (changes !== undefined) return { findings: [], changes };
  const message =
    configs.length === 1
      ? "it cannot be compared: one of the two has no version or no list of routes"
      : `one configuration can be compared with it, not ${String(configs.length)}`;
  const finding = withLevel(unreadableFinding(against, message));
  return { findings: [finding], changes: undefined };
};

/** The budget of repeats in the first settings file among the files. */
const settingsAmong = (
  files: readonly ReadFile[],
): RepeatSettings | undefined =>
  files
    .filter(({ file }) => file.endsWith(".toml"))
    .map(({ text }) =>
      text === undefined ? undefined : repeatSettingsOf(text),
    )
    .find((one) => one !== undefined);

const isFormat = (format: unknown): format is "text" | "json" =>
  format === "text" || format === "json";

/**
 * Prints what is wrong with the files and, beside the configuration in force, what changes
 * for callers. Returns the exit code.
 */
export const check = async (
  files: readonly string[],
  { format = "text", against }: CheckFlags = {},
): Promise<CheckExitCode> => {
  if (!isFormat(format)) {
    console.error(`format "${String(format)}" is not one of text, json`);
    return CheckExitCode.Usage;
  }
  if (files.length === 0) {
    console.error("name the files to check");
    return CheckExitCode.Usage;
  }
  if (against !== undefined && typeof against !== "string") {
    console.error("--against needs the name of one file");
    return CheckExitCode.Usage;
  }
  const read = await Promise.all(files.map(readText));
  const compared =
    against === undefined
      ? { findings: [], changes: undefined }
      : await compareWith(against, read);
  const settings = settingsAmong(read);
  const report: CheckReport = {
    fileCount: files.length,
    findings: [
      ...read.flatMap((one) => checkRead(one, settings)),
      ...compared.findings,
    ],
    changes: compared.changes,
  };
  if (format === "json") console.log(formatJson(report));
  else printText(report);
  return exitCodeOf(report);
};
