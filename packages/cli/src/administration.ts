/** Client of the administration API, and the exit codes for its responses. */

import { readFile } from "node:fs/promises";
import { request } from "undici";

/** Flags of every command that calls the administration API. */
export interface AdministrationFlags {
  readonly routers?: string;
  readonly tokenFile?: string;
  readonly json?: boolean;
}

/** Exit codes of the commands. */
export enum ExitCode {
  Done = 0,
  /** The request or its document is invalid. */
  Invalid = 1,
  /** No router could be reached, or the store is down. */
  Unavailable = 2,
  /** Another change was confirmed first, or the state that the plan is based on has changed. */
  Conflict = 3,
  /** The plan cannot be met in full. */
  Unmet = 4,
  /** The change may have been applied; confirm the same plan again. */
  Unknown = 5,
  /** The operator lacks the right. */
  Forbidden = 6,
}

/** A response of the administration API. */
export interface AdministrationResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A call of the administration API. */
export interface AdministrationCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: object;
}

const exitCodeByStatus: Readonly<Record<number, ExitCode>> = {
  200: ExitCode.Done,
  401: ExitCode.Forbidden,
  403: ExitCode.Forbidden,
  409: ExitCode.Conflict,
  503: ExitCode.Unavailable,
  504: ExitCode.Unknown,
};

/** Exit code for a response. */
export const exitCodeOf = ({
  status,
  body,
}: AdministrationResponse): ExitCode => {
  const error = body.error as { type?: string } | undefined;
  if (error?.type === "unmet") return ExitCode.Unmet;
  return exitCodeByStatus[status] ?? ExitCode.Invalid;
};

const callRouter = async (
  url: string,
  token: string,
  { method, path, body }: AdministrationCall,
): Promise<AdministrationResponse | undefined> => {
  try {
    const res = await request(`${url}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        "content-type": "application/json",
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const responseBody =
      (await res.body.json()) as AdministrationResponse["body"];
    return { status: res.statusCode, body: responseBody };
  } catch {
    return undefined;
  }
};

const unreachableResponse: AdministrationResponse = {
  status: 503,
  body: {
    error: { type: "unavailable", message: "no router could be reached" },
  },
};

/** Response of the first reachable router. Every call can safely be retried on the next router, confirmations included. */
export const callAdministration = async (
  flags: AdministrationFlags,
  call: AdministrationCall,
): Promise<AdministrationResponse> => {
  const urls = (flags.routers ?? "").split(",").filter((url) => url !== "");
  const token =
    flags.tokenFile === undefined
      ? ""
      : (await readFile(flags.tokenFile, "utf8")).trim();
  for (const url of urls) {
    const response = await callRouter(url, token, call);
    if (response !== undefined) return response;
  }
  return unreachableResponse;
};
