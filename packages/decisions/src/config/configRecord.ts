/** Text format of the stored configuration record. */

import { err, ok, type Result } from "@cardamomglade/common";
import {
  checkDocument,
  formatFinding,
  validateConfigRecord,
  validateIntent,
  type Deployment,
} from "@cardamomglade/schema";
import type { AcceptedConfig } from "./types.js";

const emptyChange = {
  by: "",
  why: "",
  at: 0,
  planDigest: "",
  changeId: "",
};

/** Formats a configuration as record text. */
export const formatConfigRecord = (accepted: AcceptedConfig): string => {
  const { revision, intent, serving = [], change = emptyChange } = accepted;
  return JSON.stringify({ revision, intent, serving, ...change });
};

/** Parses a configuration from record text; on failure returns all validation findings, one line each. */
export const parseConfigRecord = (
  name: string,
  text: string,
): Result<AcceptedConfig, readonly string[]> => {
  const record = checkDocument(name, text, validateConfigRecord);
  if (record.type === "err") return err(record.error.map(formatFinding));
  const { revision, serving, ...rest } = record.value;
  const { by, why, at, planDigest, changeId } = rest;
  const check = (value: object) =>
    checkDocument(name, JSON.stringify(value), validateIntent);
  const intent = check(rest.intent);
  if (intent.type === "err") return err(intent.error.map(formatFinding));
  const deployments = serving as Deployment[];
  const served = check({ ...intent.value, deployments });
  if (served.type === "err") return err(served.error.map(formatFinding));
  return ok({
    revision,
    intent: intent.value,
    serving: served.value.deployments,
    change: { by, why, at, planDigest, changeId },
  });
};
