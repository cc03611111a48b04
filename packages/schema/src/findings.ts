/** Findings of a document check. */

/** One fault in a document. Lines and columns count from 1. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly pointer: string;
  readonly message: string;
}

/** Formats a finding as `file:line:column pointer message`. */
export const formatFinding = (finding: Finding): string =>
  `${finding.file}:${String(finding.line)}:${String(finding.column)} ${finding.pointer || "/"} ${finding.message}`;
