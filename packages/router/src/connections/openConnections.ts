/** Knows the open connections of a listener, and the requests on them. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** One open connection. */
export interface OpenConnection {
  readonly socket: Socket;
  readonly address: string;
  /** Responses that have not ended. */
  readonly responses: Set<ServerResponse>;
}

/** With TLS, requests have another socket than the connection, with the same addresses. */
const keyOf = ({ remoteAddress = "", remotePort = 0 }: Socket): string =>
  `${remoteAddress} ${String(remotePort)}`;

/** Connections of one listener. */
export class OpenConnections {
  /** Those first whose last answer, or else opening, was longest ago. */
  private readonly connections = new Map<string, OpenConnection>();

  private constructor(server: Server) {
    server.on("connection", (socket: Socket) => {
      this.open(socket);
    });
    server.on("request", (_req: IncomingMessage, res: ServerResponse) => {
      this.begin(res);
    });
  }

  static create(server: Server): OpenConnections {
    return new OpenConnections(server);
  }

  /** Returns the number of open connections. */
  count(): number {
    return this.connections.size;
  }

  /** Returns all connections, those first whose last answer, or else opening, was longest ago. */
  all(): readonly OpenConnection[] {
    return [...this.connections.values()];
  }

  private open(socket: Socket): void {
    const { remoteAddress: address = "" } = socket;
    const key = keyOf(socket);
    const connection = {
      socket,
      address,
      responses: new Set<ServerResponse>(),
    };
    this.connections.set(key, connection);
    socket.on("close", () => {
      // Its port may be in use again.
      if (this.connections.get(key) === connection)
        this.connections.delete(key);
    });
  }

  private begin(res: ServerResponse): void {
    const key = keyOf(res.req.socket);
    const connection = this.connections.get(key);
    if (connection === undefined) return;
    connection.responses.add(res);
    res.on("close", () => {
      connection.responses.delete(res);
      if (this.connections.get(key) !== connection) return;
      this.connections.delete(key);
      this.connections.set(key, connection);
    });
  }
}
