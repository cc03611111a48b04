/** Checks files of the users' platform, and finds the line of each fault. */

import { locateFindings, placeOf, type Finding } from "@cardamomglade/schema";
import {
  checkConfigText,
  checkTomlText,
  type Fault,
} from "@cardamomglade/users-platform/check";

const escaped = (text: string): string =>
  text.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`);

/** Offset of a key, or of the section that lacks it. */
const offsetOf = (text: string, pointer: string): number => {
  const path = pointer.split("/").slice(1);
  const key = path.at(-1) ?? "";
  const whole = new RegExp(`^\\[${escaped(path.join("."))}\\]`, "m").exec(text);
  if (whole !== null) return whole.index;
  const name = path.slice(0, -1).join(".");
  const section = new RegExp(`^\\[${escaped(name)}\\]`, "m").exec(text);
  const from = section?.index ?? 0;
  const found = new RegExp(`^${escaped(key)}\\s*=`, "m").exec(text.slice(from));
  return from + (found?.index ?? 0);
};

const locate = (file: string, text: string, faults: readonly Fault[]) =>
  faults.map(({ pointer, message }): Finding => ({
    file,
    ...placeOf(text, offsetOf(text, pointer)),
    pointer,
    message,
  }));

/** All findings of a settings file or a deploy file. */
export const checkTomlFile = (file: string, text: string): Finding[] => {
  const checked = checkTomlText(text);
  if (checked.type === "ok") return locate(file, text, checked.value);
  return [{ file, pointer: "", ...checked.error }];
};

/** All findings of an operator's configuration. */
export const checkConfigFile = (file: string, text: string): Finding[] =>
  locateFindings(file, text, checkConfigText(text));
