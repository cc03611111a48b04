/** Prints what a check found, as text or as JSON, and says with which code the command exits. */

import { formatFinding, type Finding } from "@cardamomglade/schema";
import {
  FindingLevel,
  type ConfigChange,
} from "@cardamomglade/users-platform/check";

/** Exit codes of the check. */
export enum CheckExitCode {
  /** No error, and no caller gets less than before. */
  Passed = 0,
  Failed = 1,
  /** The command was called in a way that it does not know. */
  Usage = 2,
  /** No error, but some callers get less than before. */
  Losses = 3,
}

/** A finding with its level. */
export interface CheckedFinding extends Finding {
  readonly level: FindingLevel;
}

/** Result of a check. */
export interface CheckReport {
  readonly fileCount: number;
  readonly findings: readonly CheckedFinding[];
  /** Undefined if there was nothing to compare with. */
  readonly changes: readonly ConfigChange[] | undefined;
}

/** Version of the JSON form; it is raised if a field changes its meaning or goes. */
const jsonForm = 1;

/** Exit code of a report. */
export const exitCodeOf = ({
  findings,
  changes = [],
}: CheckReport): CheckExitCode => {
  if (findings.some(({ level }) => level === FindingLevel.Error))
    return CheckExitCode.Failed;
  return changes.some(({ isLoss }) => isLoss)
    ? CheckExitCode.Losses
    : CheckExitCode.Passed;
};

/** The report as a JSON document, with line breaks. */
export const formatJson = (report: CheckReport): string =>
  JSON.stringify(
    {
      form: jsonForm,
      exitCode: exitCodeOf(report),
      findings: report.findings,
      changes: report.changes,
    },
    undefined,
    2,
  );

const formatLeveled = (finding: CheckedFinding): string =>
  finding.level === FindingLevel.Error
    ? formatFinding(finding)
    : `${formatFinding(finding)} (${finding.level})`;

const formatChange = ({
  subject,
  name,
  effect,
  isLoss,
}: ConfigChange): string =>
  `${isLoss ? "less" : "    "} ${subject} ${name} ${effect}`;

const changeLines = ({ changes }: CheckReport): string[] => {
  if (changes === undefined) return [];
  return changes.length === 0
    ? ["nothing changes for callers"]
    : changes.map(formatChange);
};

/** Prints findings to stderr and the rest to stdout. */
export const printText = (report: CheckReport): void => {
  for (const finding of report.findings) console.error(formatLeveled(finding));
  for (const line of changeLines(report)) console.log(line);
  if (report.findings.length === 0)
    console.log(`${String(report.fileCount)} file(s) without findings`);
};
