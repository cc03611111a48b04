/** A proxy whose open channels can fall silent for good, without a reset, while new ones work. */

import net from "node:net";

/** Forwards channels to an address. */
export class SilentProxy {
  links = new Set();

  static async create(deployment, target) {
    const proxy = new SilentProxy();
    const server = net.createServer({ allowHalfOpen: true }, (socket) => {
      proxy.link(socket, target);
    });
    await new Promise((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    proxy.host = "127.0.0.1";
    proxy.port = server.address().port;
    deployment.stops.push(() => {
      server.close();
      for (const { ends } of proxy.links)
        for (const socket of ends) socket.destroy();
    });
    return proxy;
  }

  link(caller, { host, port }) {
    const callee = net.connect({ host, port, allowHalfOpen: true });
    const link = { isSilent: false, ends: [caller, callee] };
    this.links.add(link);
    const join = (from, to) => {
      from.on("data", (bytes) => {
        if (!link.isSilent) to.write(bytes);
      });
      from.on("end", () => {
        if (!link.isSilent) to.end();
      });
      from.on("error", () => {
        if (!link.isSilent) to.resetAndDestroy();
      });
      from.on("close", () => {
        if (!link.isSilent && from.destroyed && to.destroyed)
          this.links.delete(link);
      });
    };
    join(caller, callee);
    join(callee, caller);
  }

  /** From now on, nothing that either end of an open channel sends or does reaches the other. */
  silence() {
    for (const link of this.links) link.isSilent = true;
    return this.links.size;
  }
}
