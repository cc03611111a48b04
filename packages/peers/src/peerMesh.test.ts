import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import fc from "fast-check";
import { generate } from "selfsigned";
import { WebSocket } from "ws";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { decodeMessage, encodeMessage } from "./codec.js";
import { PeerMesh } from "./peerMesh.js";
import type { LinkTls, MeshEvent } from "./types.js";

const secret = "a secret of the test's mesh";

const startMesh = async (
  t: TestContext,
  router: string,
  options: { sharedSecret?: string; tls?: LinkTls } = {},
) => {
  const events: MeshEvent[] = [];
  const { tls } = options;
  const mesh = await PeerMesh.create({
    router,
    address: "127.0.0.1",
    port: 0,
    sharedSecret: options.sharedSecret ?? secret,
    ...(tls === undefined ? {} : { listenTls: tls, dialTls: tls }),
    onEvent: (event) => events.push(event),
  });
  t.after(() => mesh.close());
  const waitForEvent = (type: MeshEvent["type"], peer: string) =>
    eventually(
      () => events.some((one) => one.type === type && one.peer === peer),
      `${type} ${peer}`,
    );
  return { mesh, events, waitForEvent };
};

const request = { type: "configRequest", above: 3 } as const;

test("two routers establish a link and exchange messages", async (t) => {
  const a = await startMesh(t, "a");
  const b = await startMesh(t, "b");
  a.mesh.connect(b.mesh.url);
  await Promise.all([
    a.waitForEvent("linked", "b"),
    b.waitForEvent("linked", "a"),
  ]);
  assert.equal(b.mesh.send("a", request), true);
  await a.waitForEvent("received", "b");
  assert.deepEqual(a.events.at(-1), {
    type: "received",
    peer: "b",
    message: request,
  });
  assert.equal(a.mesh.send("nobody", request), false);
});

test("simultaneous dials result in one link that carries messages both ways", async (t) => {
  const a = await startMesh(t, "a");
  const b = await startMesh(t, "b");
  a.mesh.connect(b.mesh.url);
  b.mesh.connect(a.mesh.url);
  const exchange = async () => {
    await Promise.all([
      a.waitForEvent("linked", "b"),
      b.waitForEvent("linked", "a"),
    ]);
    await eventually(
      () => a.mesh.send("b", request) && b.mesh.send("a", request),
      "both can send",
    );
    await Promise.all([
      a.waitForEvent("received", "b"),
      b.waitForEvent("received", "a"),
    ]);
  };
  await exchange();
});

test("a lost link is redialed", async (t) => {
  const a = await startMesh(t, "a");
  const b = await startMesh(t, "b");
  const port = Number(new URL(b.mesh.url).port);
  a.mesh.connect(b.mesh.url);
  await a.waitForEvent("linked", "b");
  await b.mesh.close();
  await a.waitForEvent("lost", "b");
  a.events.length = 0;
  const restarted = await PeerMesh.create({
    router: "b",
    address: "127.0.0.1",
    port,
    sharedSecret: secret,
    onEvent: () => undefined,
  });
  t.after(() => restarted.close());
  await a.waitForEvent("linked", "b");
});

test("no link is established with a wrong secret, a message before authentication or the own address", async (t) => {
  const a = await startMesh(t, "a");
  const stranger = await startMesh(t, "s", {
    sharedSecret: "another secret of 16",
  });
  stranger.mesh.connect(a.mesh.url);
  a.mesh.connect(a.mesh.url.replace("127.0.0.1", "localhost"));
  const early = new WebSocket(a.mesh.url);
  await once(early, "open");
  early.send(encodeMessage(request));
  await once(early, "close");
  const echo = new WebSocket(a.mesh.url);
  echo.on("message", (data: Buffer) => {
    echo.send(data);
  });
  await once(echo, "close");
  assert.deepEqual(a.events, []);
  assert.deepEqual(stranger.events, []);
});

test("links work over TLS and reject a certificate of another authority", async (t) => {
  const attributes = [{ name: "commonName", value: "localhost" }];
  const extensions = [
    {
      name: "subjectAltName" as const,
      altNames: [{ type: 7 as const, ip: "127.0.0.1" }],
    },
  ];
  const pems = await generate(attributes, { extensions });
  const otherPems = await generate(attributes, { extensions });
  const tlsOf = (key: string, cert: string): LinkTls => ({
    key,
    cert,
    ca: cert,
    requestCert: true,
  });
  const tls = tlsOf(pems.private, pems.cert);
  const a = await startMesh(t, "a", { tls });
  const b = await startMesh(t, "b", { tls });
  const stranger = await startMesh(t, "s", {
    tls: tlsOf(otherPems.private, otherPems.cert),
  });
  stranger.mesh.connect(a.mesh.url);
  a.mesh.connect(b.mesh.url);
  await Promise.all([
    a.waitForEvent("linked", "b"),
    b.waitForEvent("linked", "a"),
  ]);
  assert.equal(
    a.events.some(({ peer }) => peer === "s"),
    false,
  );
});

test("arbitrary bytes decode to a valid message or to undefined", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const message = decodeMessage(bytes);
      assert.ok(message === undefined || typeof message.type === "string");
    }),
    { seed: 7, numRuns: 2000 },
  );
  const valid = encodeMessage(request);
  fc.assert(
    fc.property(
      fc.nat({ max: valid.length - 1 }),
      fc.nat({ max: 255 }),
      (at, byte) => {
        const mutated = Uint8Array.from(valid);
        mutated[at] = byte;
        const message = decodeMessage(mutated);
        assert.ok(message === undefined || message.type.length > 0);
      },
    ),
    { seed: 7, numRuns: 2000 },
  );
});
