import assert from "node:assert/strict";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import {
  exchange,
  requestText,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

// Load: answers that have no body by their kind, from a replica that closes its connection later.
for (const [name, method, head] of [
  ["to a HEAD request", "HEAD", "HTTP/1.1 200 OK\r\n"],
  ["without content", "GET", "HTTP/1.1 204 No Content\r\n"],
  ["not modified", "GET", "HTTP/1.1 304 Not Modified\r\n"],
] as const)
  test(`an answer ${name} waits for the replica to close its connection`, async (t) => {
    const { port, stop } = await startTestRelay((socket) => {
      socket.write(`${head}${sealed}\r\n`);
    });
    t.after(stop);
    const startedAt = now();
    const request = requestText("/check/x", ["connection: close"], method);
    const received = await exchange(port, request, 3000);
    const tookMs = Math.round(now() - startedAt);
    assert.ok(received.startsWith(head.trimEnd()), received);
    assert.ok(tookMs < 500, `${String(tookMs)} ms`);
  });
