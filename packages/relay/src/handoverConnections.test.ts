import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { startRelayPair } from "./testing/relayPair.js";
import { sendUndisturbed } from "./testing/sendUndisturbed.js";
import {
  exchange,
  patientMs,
  patientRequestText,
  respondOk,
} from "./testing/testRelay.js";

const maxDescriptors = 400;
const maxCount = 12; // a sixteenth of those that are not for files
const crowdCount = 60;

// Load: somebody opens connections to the port at which routers hand requests on, and sends nothing.
test("connections to the port of routers take descriptors without end, or no request is handed on", async (t) => {
  const pair = await startRelayPair(respondOk, {
    isPatient: true,
    maxDescriptors,
  });
  t.after(pair.stop);
  const port = pair.helper.address.port + 1;
  const crowd: Socket[] = [];
  t.after(() => {
    for (const socket of crowd) socket.destroy();
  });
  for (let index = 0; index < crowdCount; index += 1) {
    const socket = connect({
      port,
      host: "127.0.0.1",
      localAddress: "127.0.0.2",
    });
    socket.on("error", () => undefined); // it is closed unread
    socket.resume();
    crowd.push(socket);
  }
  const openCount = () => crowd.filter((one) => !one.destroyed).length;
  await eventually(() => openCount() <= maxCount, "closed connections", 3000);
  const received = await sendUndisturbed(pair, () =>
    exchange(
      pair.cut.port,
      patientRequestText("/check/x", ["connection: close"]),
      patientMs,
    ),
  );
  assert.match(received, /^HTTP\/1.1 200 OK/);
});
