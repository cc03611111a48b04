import assert from "node:assert/strict";
import { test } from "node:test";
import {
  answerInPart,
  End,
  Framing,
  largeUploadBytes,
  mayBeWhole,
  oddStatuses,
  Upload,
  uploadBytes,
  writeAndEnd,
  type UploadCase,
} from "@cardamomglade/common/testing/answersDuringUploads";
import type { RawReader } from "./testing/rawReplica.js";
import { engines, plainService } from "./testing/scenario.js";
import {
  exchange,
  isReportRequest,
  isStopRequest,
  patientMs,
  requestText,
  respondJson,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

// Load: replicas answer a part while they are sent a long body, and end the connection.
const budgetMs = 1000;
const maxWaitMs = 3000;

enum Path {
  Plain = "/book/x",
  Stream = "/stream/x",
}

interface Case extends UploadCase {
  readonly path: Path;
  readonly isChunkedUpload: boolean;
  readonly bytes?: number;
}

const bytesOf = ({ bytes = uploadBytes }: Case): number => bytes;

const partOf = (path: Path): string =>
  path === Path.Plain ? "hello, wor" : "id: 1\ndata: a\n\n";

const answerOf = (framing: Framing, path: Path): string => {
  const type = path === Path.Plain ? "" : "content-type: text/event-stream\r\n";
  const head = `HTTP/1.1 200 OK\r\n${sealed}${type}`;
  return answerInPart(framing, head, partOf(path));
};

/** A replica that answers its requests in the way of the case, and those of the router truly. */
const reader =
  (one: Case, onRequest: () => void): RawReader =>
  (socket) => {
    const { framing, upload, path } = one;
    let text = "";
    let isAnswered = false;
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (isAnswered) return;
      const headEnd = text.indexOf("\r\n\r\n");
      if (headEnd === -1) return;
      if (isReportRequest(text) || isStopRequest(text)) {
        socket.end(respondJson("{}"));
        return;
      }
      const isUploaded = text.length - headEnd - 4 >= bytesOf(one);
      if (upload === Upload.Written && !isUploaded) return;
      isAnswered = true;
      onRequest();
      writeAndEnd(socket, one, answerOf(framing, path));
    });
  };

/** Whether the end of a request does not depend on its deadline. */
const isPatient = (one: Case): boolean =>
  mayBeWhole(one) || (one.path === Path.Plain && one.upload !== Upload.Stopped);

const uploadText = (one: Case): string => {
  const length = bytesOf(one);
  const body = "x".repeat(length);
  const headers = one.isChunkedUpload
    ? ["transfer-encoding: chunked"]
    : [`content-length: ${String(length)}`];
  const content = one.isChunkedUpload
    ? `${length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    : body;
  const ms = isPatient(one) ? patientMs : budgetMs;
  const all = [...headers, "connection: close"];
  return requestText(one.path, all, "POST", content, ms);
};

const nameOf = ({ framing, end, upload, path, isChunkedUpload }: Case) =>
  `${path}, ${framing}, ${end}, upload ${upload}${isChunkedUpload ? " in chunks" : ""}`;

/** What the caller receives, and how often the replica was sent the request. */
const play = async (one: Case) => {
  let requestCount = 0;
  const running = await startTestRelay(
    respondOk,
    one.path === Path.Stream ? engines : plainService,
    ["a-9"],
    undefined,
    reader(one, () => (requestCount += 1)),
  );
  if (isPatient(one)) await running.extendTimeouts();
  await running.changeLimits({ bodyBytes: largeUploadBytes });
  const waitMs = isPatient(one) ? patientMs : maxWaitMs;
  const received = await exchange(running.port, uploadText(one), waitMs);
  await running.stop();
  return { received, requestCount };
};

const isWholeSuccess = (received: string, path: Path): boolean =>
  received.startsWith("HTTP/1.1 2") &&
  (path === Path.Plain || received.endsWith("\r\n0\r\n\r\n"));

const assertTrue = async (one: Case): Promise<void> => {
  const { received, requestCount } = await play(one);
  const seen = `${nameOf(one)}: ${JSON.stringify(received.slice(0, 300))}`;
  assert.equal(isWholeSuccess(received, one.path), mayBeWhole(one), seen);
  assert.ok(received.startsWith("HTTP/1.1 "), seen);
  if (one.path === Path.Plain) assert.equal(requestCount, 1, seen);
};

const ways = Object.values(Upload).flatMap((upload) =>
  Object.values(End).map((end) => ({ upload, end })),
);

const isHeldHalfOpen = ({ upload, end }: (typeof ways)[number]): boolean =>
  upload === Upload.Stopped && end === End.HalfClosed;

for (const framing of Object.values(Framing)) {
  for (const { upload, end } of ways)
    test(`a part of an answer with ${framing} is taken for whole, or a whole one lost (${end}, upload ${upload})`, async () => {
      const path = Path.Plain;
      for (const isChunkedUpload of [false, true])
        await assertTrue({ framing, end, upload, path, isChunkedUpload });
    });

  for (const isHeld of [false, true])
    test(`a part of a stream with ${framing} is taken for whole, or a whole one lost (${isHeld ? "half closed, upload stopped" : "other ways"})`, async () => {
      const path = Path.Stream;
      const cases = ways
        .filter((way) => isHeldHalfOpen(way) === isHeld)
        .flatMap((way) => [
          { framing, ...way, path, isChunkedUpload: false },
          { framing, ...way, path, isChunkedUpload: true },
        ]);
      await Promise.all(cases.map(assertTrue));
    });
}

for (const path of Object.values(Path))
  test(`an answer without a length is taken for whole while the router still holds a part of the body (${path})`, async () => {
    await assertTrue({
      framing: Framing.Neither,
      end: End.HalfClosed,
      upload: Upload.Stopped,
      path,
      isChunkedUpload: false,
      bytes: largeUploadBytes,
    });
  });

for (const path of Object.values(Path))
  test(`an answer whose status is none of a final answer is passed on (${path})`, async () => {
    for (const status of oddStatuses) {
      const type =
        path === Path.Plain ? "" : "content-type: text/event-stream\r\n";
      const body = partOf(path);
      const running = await startTestRelay(
        (socket, text) => {
          if (isReportRequest(text)) socket.end(respondJson("{}"));
          else
            socket.end(
              `HTTP/1.1 ${status} X\r\n${sealed}${type}content-length: ${String(body.length)}\r\n\r\n${body}`,
            );
        },
        path === Path.Stream ? engines : plainService,
      );
      const text = requestText(path, ["connection: close"]);
      const received = await exchange(running.port, text, maxWaitMs);
      await running.stop();
      assert.match(received, /^HTTP\/1.1 50[24] /, status);
      assert.ok(!received.includes(body), status);
    }
  });
