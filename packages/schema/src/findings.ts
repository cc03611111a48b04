/** Findings of a check, with their place. */

/** One thing wrong in a document. Lines and columns count from 1. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly pointer: string;
  readonly message: string;
}

/** One line for people: `file:line:column pointer message`. */
export const formatFinding = (finding: Finding): string =>
  `${finding.file}:${String(finding.line)}:${String(finding.column)} ${finding.pointer || "/"} ${finding.message}`;
