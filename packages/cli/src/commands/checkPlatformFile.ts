/** Checks platform files and locates each fault by line and column. */

import {
  locateFindings,
  positionOf,
  type Finding,
} from "@cardamomglade/schema";
import {
  checkConfigText,
  checkTomlText,
  FindingLevel,
  type CheckFinding,
  type RepeatSettings,
} from "@cardamomglade/users-platform/check";
import type { CheckedFinding } from "./checkReport.js";

const escapeRegExp = (text: string): string =>
  text.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`);

/** Offset of the key or section that a pointer names; of the parent section if the key is missing. */
const offsetOf = (text: string, pointer: string): number => {
  const path = pointer.split("/").slice(1);
  const key = path.at(-1) ?? "";
  const sectionHeader = new RegExp(
    `^\\[${escapeRegExp(path.join("."))}\\]`,
    "m",
  ).exec(text);
  if (sectionHeader !== null) return sectionHeader.index;
  const parentName = path.slice(0, -1).join(".");
  const parentHeader = new RegExp(
    `^\\[${escapeRegExp(parentName)}\\]`,
    "m",
  ).exec(text);
  const searchStart = parentHeader?.index ?? 0;
  const keyMatch = new RegExp(`^${escapeRegExp(key)}\\s*=`, "m").exec(
    text.slice(searchStart),
  );
  return searchStart + (keyMatch?.index ?? 0);
};

const locate = (
  file: string,
  text: string,
  findings: readonly CheckFinding[],
) =>
  findings.map(({ pointer, message }): Finding => ({
    file,
    ...positionOf(text, offsetOf(text, pointer)),
    pointer,
    message,
  }));

/** All findings of a TOML file: platform settings or a deploy file. */
export const checkTomlFile = (file: string, text: string): Finding[] => {
  const checked = checkTomlText(text);
  if (checked.type === "ok") return locate(file, text, checked.value);
  return [{ file, pointer: "", ...checked.error }];
};

/** All findings of a JSON configuration file. */
export const checkConfigFile = (
  file: string,
  text: string,
  settings?: RepeatSettings,
): CheckedFinding[] => {
  const findings = checkConfigText(text, settings);
  return locateFindings(file, text, findings).map((located, index) => ({
    ...located,
    level: findings[index]?.level ?? FindingLevel.Error,
  }));
};
