import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { Holder } from "../../decisions/memory/types.js";
import { httpCall } from "../httpCall.js";
import { CallPeer } from "./controlBudgets.js";
import { memoryBudget } from "./memoryBudget.js";

const timeoutMs = 1000;
const answerBytes = 100_000; // a large one

// Load: requests and answers hold the whole budget.
for (const peer of Object.values(CallPeer))
  test(`requests keep this process from an answer of a peer (${peer})`, async (t) => {
    const server = createServer((req, res) => {
      req.resume();
      res.writeHead(200, { "content-length": answerBytes });
      res.end("x".repeat(answerBytes));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const kept = memoryBudget.hold({
      holder: Holder.KeptRequest,
      isSized: true,
      onGiveWay: () => undefined,
    });
    kept.set(memoryBudget.use().maxBytes);
    t.after(() => {
      kept.close();
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const result = await httpCall({
      peer,
      host: "127.0.0.1",
      port,
      method: "GET",
      path: "/",
      deadline: now() + timeoutMs,
    });
    assert.equal(result.type, "answered");
  });
