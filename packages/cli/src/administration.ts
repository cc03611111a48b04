/** Calls of the administration API, and what its answers mean as exit codes. */

import { readFile } from "node:fs/promises";
import { request } from "undici";

/** Flags that every command of the administration API takes. */
export interface AdministrationFlags {
  readonly routers?: string;
  readonly tokenFile?: string;
  readonly json?: boolean;
}

/** Exit codes of the commands. */
export enum ExitCode {
  Done = 0,
  /** The request or its document is wrong. */
  Invalid = 1,
  /** No router could be reached, or the store is down. */
  Unavailable = 2,
  /** Another change came first, or the world has changed. */
  Race = 3,
  /** The plan cannot be met in full. */
  Unmet = 4,
  /** The change may have been made; confirm the same plan again. */
  Unknown = 5,
  /** The operator lacks the right. */
  Forbidden = 6,
}

/** An answer of the administration API. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** One call. */
export interface AdministrationCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: object;
}

const codes: Readonly<Record<number, ExitCode>> = {
  200: ExitCode.Done,
  401: ExitCode.Forbidden,
  403: ExitCode.Forbidden,
  409: ExitCode.Race,
  503: ExitCode.Unavailable,
  504: ExitCode.Unknown,
};

/** Exit code of an answer. */
export const exitCodeOf = ({
  status,
  body,
}: AdministrationAnswer): ExitCode => {
  const error = body.error as { type?: string } | undefined;
  if (error?.type === "unmet") return ExitCode.Unmet;
  return codes[status] ?? ExitCode.Invalid;
};

const callOne = async (
  url: string,
  token: string,
  { method, path, body }: AdministrationCall,
): Promise<AdministrationAnswer | undefined> => {
  try {
    const res = await request(`${url}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        "content-type": "application/json",
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const answer = (await res.body.json()) as AdministrationAnswer["body"];
    return { status: res.statusCode, body: answer };
  } catch {
    return undefined;
  }
};

const unreachable: AdministrationAnswer = {
  status: 503,
  body: {
    error: { type: "unavailable", message: "no router could be reached" },
  },
};

/** Answer of the first router that can be reached; every call may be sent again to the next, a confirmation too. */
export const callAdministration = async (
  flags: AdministrationFlags,
  call: AdministrationCall,
): Promise<AdministrationAnswer> => {
  const urls = (flags.routers ?? "").split(",").filter((url) => url !== "");
  const token =
    flags.tokenFile === undefined
      ? ""
      : (await readFile(flags.tokenFile, "utf8")).trim();
  for (const url of urls) {
    const answer = await callOne(url, token, call);
    if (answer !== undefined) return answer;
  }
  return unreachable;
};
