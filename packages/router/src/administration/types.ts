/** Types of the administration API. */

import type { IncomingMessage } from "node:http";
import type { OperatorRight } from "@cardamomglade/schema";

/** A request to the administration API with its complete body. */
export interface AdministrationRequest {
  readonly req: IncomingMessage;
  readonly query: URLSearchParams;
  readonly body: string;
  /** Name of the operator; empty if the route requires no right. */
  readonly operator: string;
}

/** A response of the administration API; a string body is sent unchanged, any other as JSON. */
export interface AdministrationResponse {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
}

/** One route of the administration API. */
export interface AdministrationRoute {
  readonly method: string;
  readonly path: string;
  /** Right that the operator must have; without it the route needs no authorization. */
  readonly right?: OperatorRight;
  handle(
    request: AdministrationRequest,
  ): AdministrationResponse | Promise<AdministrationResponse>;
}
