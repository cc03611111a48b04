/** The configuration's record as text. */

import { err, ok, type Result } from "@cardamomglade/common";
import {
  checkDocument,
  formatFinding,
  validateConfigRecord,
  validateIntent,
  type Deployment,
} from "@cardamomglade/schema";
import type { AcceptedConfig } from "./types.js";

const firstChange = {
  by: "",
  why: "",
  at: 0,
  planDigest: "",
  changeId: "",
};

/** Text of a configuration's record. */
export const formatConfigRecord = (accepted: AcceptedConfig): string => {
  const { revision, intent, serving = [], change = firstChange } = accepted;
  return JSON.stringify({ revision, intent, serving, ...change });
};

/** A configuration from its record's text, or every finding as a line. */
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
