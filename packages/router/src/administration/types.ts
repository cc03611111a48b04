/** Shapes of the administration API. */

import type { IncomingMessage } from "node:http";
import type { OperatorRight } from "@cardamomglade/schema";

/** A request to the administration API, its body read. */
export interface AdministrationRequest {
  readonly req: IncomingMessage;
  readonly query: URLSearchParams;
  readonly body: string;
  /** Name of the operator; empty where the route needs no right. */
  readonly operator: string;
}

/** Its answer; a text body goes out as it is, any other as JSON. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
}

/** One path of the administration API. */
export interface AdministrationRoute {
  readonly method: string;
  readonly path: string;
  /** The right an operator needs; open to all where there is none. */
  readonly right?: OperatorRight;
  handle(
    request: AdministrationRequest,
  ): AdministrationAnswer | Promise<AdministrationAnswer>;
}
