/** Responses that have no body, whatever their headers say. */

const bodilessStatuses = new Set([204, 304]);

/** Whether the response to a request has no body. */
export const isBodiless = (method: string, status: number): boolean =>
  method === "HEAD" || bodilessStatuses.has(status);
