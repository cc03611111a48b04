/** Checks of a configuration before it is sent: what can never match, what contradicts itself, what changes for callers. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  compareConfigTexts,
  repeatSettingsOf,
} from "@cardamomglade/users-platform/check";
import { checkRead } from "./check.js";
import { checkConfigFile } from "./checkPlatformFile.js";
import {
  CheckExitCode,
  exitCodeOf,
  formatJson,
  type CheckReport,
} from "./checkReport.js";

type Fields = Readonly<Record<string, unknown>>;

const routeWith = (changes: Fields = {}): Fields => ({
  name: "r",
  hostname: "h.example",
  prefix: "/a/",
  kind: "idempotent",
  timeout_ms: 2000,
  target_latency_ms: 200,
  service: "s",
  max_attempts: 2,
  ...changes,
});

const customer = { name: "c", api_keys: ["k1", "k2"] };

const configWith = (changes: Fields = {}): Fields => ({
  version: 2,
  services: [{ name: "s" }],
  routes: [routeWith()],
  tenants: [customer],
  ...changes,
});

const findingsOf = (document: unknown): string[] =>
  checkConfigFile("c.json", JSON.stringify(document)).map(
    ({ pointer, message, level }) => `${level} ${pointer} ${message}`,
  );

const findingsOfRoute = (changes: Fields): string[] =>
  findingsOf(configWith({ routes: [routeWith(changes)] }));

test("a sound configuration has no findings", () => {
  assert.deepEqual(findingsOf(configWith()), []);
});

const faultyRoutes: readonly (readonly [Fields, string])[] = [
  [{ hostname: "" }, "error /routes/0/hostname the host name is empty"],
  [
    { hostname: "h.example:80" },
    'error /routes/0/hostname the host "h.example:80" has a port, which requests are looked up without',
  ],
  [
    { hostname: "*.example" },
    'error /routes/0/hostname the host "*.example" is no pattern: only that very name matches',
  ],
  [
    { hostname: "h example" },
    'error /routes/0/hostname no request can name the host "h example"',
  ],
  [
    { prefix: "/a?b/" },
    'error /routes/0/prefix no path has "?" or "#", as the prefix "/a?b/" does',
  ],
  [
    { prefix: "/ä/" },
    'error /routes/0/prefix paths have their spaces and letters beyond ASCII encoded, the prefix "/ä/" does not',
  ],
  [{ timeout_ms: -1 }, "error /routes/0/timeout_ms expected above 0"],
  [
    { target_latency_ms: 3000 },
    "error /routes/0 the target latency exceeds the timeout",
  ],
  [
    { max_attempts: 0.5 },
    "error /routes/0/max_attempts expected a whole number from 1",
  ],
  [
    { kind: "non_idempotent" },
    "warning /routes/0/max_attempts such requests run once only: further attempts are never made",
  ],
  [
    { timeout_ms: 500, max_attempts: 3 },
    "warning /routes/0/max_attempts only 2 of 3 attempts can begin before the time-out if replicas say nothing: one begins every 400 ms",
  ],
  [
    { priority: 10 },
    "error /routes/0/priority expected a whole number from 0 to 9",
  ],
];

for (const [changes, expected] of faultyRoutes)
  test(`a route with ${JSON.stringify(changes)} is found`, () => {
    const found = findingsOfRoute(changes);
    assert.ok(found.includes(expected), found.join("\n"));
  });

const faultyConfigs: readonly (readonly [string, Fields, string])[] = [
  [
    "a route that another one covers",
    { routes: [routeWith(), routeWith({ hostname: "H.example" })] },
    "error /routes/1 routes the same requests as route 0",
  ],
  [
    "a service that is not there",
    { services: [] },
    'error /routes/0 service "s" does not exist',
  ],
  [
    "a service that is there twice",
    { services: [{ name: "s" }, { name: "s" }] },
    'error /services/1 service "s" is there twice',
  ],
  [
    "a service without a route",
    { services: [{ name: "s" }, { name: "t" }] },
    'warning /services/1 no route uses service "t"',
  ],
  [
    "a target without requests",
    {
      routes: [
        routeWith({
          service: undefined,
          traffic_split: [
            { service: "s", weight: 1 },
            { service: "s", weight: 0 },
          ],
        }),
      ],
    },
    'warning /routes/0/traffic_split service "s" gets no request here',
  ],
  [
    "a key that two customers share",
    { tenants: [customer, { name: "d", api_keys: ["k2"] }] },
    'error /tenants/1 a key of "c" is also one of "d"',
  ],
  [
    "a key that cannot be sent",
    { tenants: [{ name: "c", api_keys: [""] }] },
    "error /tenants/0 a key is empty or cannot stand in a header",
  ],
  [
    "a customer without keys",
    { tenants: [customer, { name: "d", api_keys: [] }] },
    'warning /tenants/1 no caller can be customer "d": it has no key',
  ],
  [
    "a route that nobody may use",
    { tenants: [] },
    "warning /routes/0 no caller may use it: no customer has a key",
  ],
  [
    "a limit without room",
    { limits: { max_body_bytes: 0 } },
    "error /limits/max_body_bytes expected above 0",
  ],
  [
    "ranks that invert",
    {
      services: [{ name: "s", inference_engine: {} }],
      routes: [
        routeWith({ priority: 2 }),
        routeWith({
          name: "slow",
          prefix: "/b/",
          target_latency_ms: 900,
          priority: 1,
        }),
      ],
    },
    'warning /routes/0/priority ranks behind route "slow", whose target is longer',
  ],
  [
    "a list of routes that is none",
    { routes: "r" },
    'error  key "routes" is missing or not a list',
  ],
];

for (const [name, changes, expected] of faultyConfigs)
  test(`${name} is found`, () => {
    const found = findingsOf(configWith(changes));
    assert.ok(found.includes(expected), found.join("\n"));
  });

const changesOf = (before: Fields, after: Fields): string[] =>
  (compareConfigTexts(JSON.stringify(before), JSON.stringify(after)) ?? []).map(
    ({ subject, name, effect, isLoss }) =>
      `${isLoss ? "less" : "more"} ${subject} ${name} ${effect}`,
  );

test("a configuration that only has a higher version changes nothing", () => {
  assert.deepEqual(changesOf(configWith(), configWith({ version: 3 })), []);
});

const comparisons: readonly (readonly [string, Fields, string])[] = [
  [
    "a version that routers ignore",
    { version: 2 },
    "less version 2 is not above 2, which is in force: routers keep that one",
  ],
  [
    "a route that goes",
    { routes: [] },
    "less route h.example/a/ goes: its requests are refused with 404",
  ],
  [
    "a route whose requests another one gets",
    { routes: [routeWith({ prefix: "/" })] },
    "less route h.example/a/ goes: its requests go to route h.example/",
  ],
  [
    "a new route",
    { routes: [routeWith(), routeWith({ prefix: "/a/b/" })] },
    "more route h.example/a/b/ is new: its requests went to route h.example/a/",
  ],
  [
    "a shorter time-out",
    { routes: [routeWith({ timeout_ms: 1000 })] },
    "less route h.example/a/ ms until a request is given up: 1000, before 2000",
  ],
  [
    "another kind",
    { routes: [routeWith({ kind: "non_idempotent" })] },
    "less route h.example/a/ kind nonIdempotent, before idempotent: requests run once only",
  ],
  [
    "another service",
    { routes: [routeWith({ service: "t" })] },
    "more route h.example/a/ served by t 100 %, before s 100 %",
  ],
  [
    "keys that are withdrawn",
    { tenants: [{ name: "c", api_keys: ["k1"] }] },
    "less customer c 1 key withdrawn: refused with 401",
  ],
  [
    "keys that another customer gets",
    { tenants: [{ name: "d", api_keys: ["k1", "k2"] }] },
    'less customer c 2 keys now count as customer "d"',
  ],
  [
    "a customer that goes",
    { tenants: [] },
    "less customer c 2 keys withdrawn: refused with 401",
  ],
  [
    "a lower rank",
    { tenants: [{ ...customer, priority: 5 }] },
    "less customer c rank, 0 first: 5, before that of the route",
  ],
  [
    "a lower limit",
    { limits: { max_body_bytes: 1000 } },
    "less limits bodyBytes bytes a body may have: 1000, before 4194304",
  ],
];

for (const [name, changes, expected] of comparisons)
  test(`${name} is told of`, () => {
    const found = changesOf(
      configWith(),
      configWith({ version: 3, ...changes }),
    );
    assert.ok(found.includes(expected), found.join("\n"));
  });

test("no key is printed", () => {
  const before = configWith();
  const after = configWith({
    tenants: [{ name: "d", api_keys: ["k1", "k1"] }],
  });
  const text = [...findingsOf(after), ...changesOf(before, after)].join("\n");
  assert.doesNotMatch(text, /k1|k2/);
});

const reportOf = (document: Fields, before?: Fields): CheckReport => ({
  fileCount: 1,
  findings: checkConfigFile("c.json", JSON.stringify(document)),
  changes:
    before &&
    compareConfigTexts(JSON.stringify(before), JSON.stringify(document)),
});

test("the exit code tells errors, losses and warnings apart", () => {
  const warned = configWith({
    version: 3,
    services: [{ name: "s" }, { name: "t" }],
  });
  const wrong = configWith({ version: 3, services: [] });
  const less = configWith({
    version: 3,
    tenants: [{ name: "c", api_keys: ["k1"] }],
  });
  assert.equal(
    exitCodeOf(reportOf(warned, configWith())),
    CheckExitCode.Passed,
  );
  assert.equal(exitCodeOf(reportOf(wrong, configWith())), CheckExitCode.Failed);
  assert.equal(exitCodeOf(reportOf(less, configWith())), CheckExitCode.Losses);
  assert.equal(exitCodeOf(reportOf(less)), CheckExitCode.Passed);
});

test("the JSON form has findings with their place, and changes", () => {
  const report = reportOf(configWith({ services: [] }), configWith());
  const document = JSON.parse(formatJson(report)) as Record<string, unknown>;
  assert.equal(document.form, 1);
  assert.equal(document.exitCode, CheckExitCode.Failed);
  const [finding] = document.findings as Fields[];
  assert.deepEqual(Object.keys(finding ?? {}).sort(), [
    "column",
    "file",
    "level",
    "line",
    "message",
    "pointer",
  ]);
  const [change] = document.changes as Fields[];
  assert.deepEqual(Object.keys(change ?? {}).sort(), [
    "effect",
    "isLoss",
    "name",
    "subject",
  ]);
});

test("2,000 routes, each with a finding and a change, are checked within a second", () => {
  const routesWith = (changes: Fields) =>
    Array.from({ length: 2000 }, (_, index) =>
      routeWith({ prefix: `/${String(index)}/`, ...changes }),
    );
  const text = JSON.stringify(
    configWith({ version: 3, routes: routesWith({ priority: 10 }) }),
    undefined,
    2,
  );
  const before = JSON.stringify(configWith({ routes: routesWith({}) }));
  const startedAt = performance.now();
  assert.equal(checkConfigFile("c.json", text).length, 2000);
  assert.equal(compareConfigTexts(before, text)?.length, 2000);
  assert.ok(performance.now() - startedAt < 1000);
});

const oddValue = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom("s", "h", "/a/", "idempotent", "streaming", -1, 0, 1, 1e308),
);

const oddRecord = (names: readonly string[]) =>
  fc.oneof(
    fc.jsonValue(),
    fc.record(Object.fromEntries(names.map((name) => [name, oddValue])), {
      requiredKeys: [],
    }),
  );

const oddRoute = oddRecord([
  "name",
  "hostname",
  "prefix",
  "kind",
  "timeout_ms",
  "target_latency_ms",
  "service",
  "traffic_split",
  "max_attempts",
  "priority",
  "auth_exempt",
  "stream_resume",
]);

const oddConfig = fc
  .record(
    {
      version: oddValue,
      routes: fc.oneof(oddValue, fc.array(oddRoute)),
      services: fc.oneof(
        oddValue,
        fc.array(oddRecord(["name", "inference_engine"])),
      ),
      tenants: fc.oneof(
        oddValue,
        fc.array(oddRecord(["name", "api_keys", "priority"])),
      ),
      limits: fc.oneof(oddValue, oddRecord(["max_body_bytes"])),
    },
    { requiredKeys: [] },
  )
  .map((document) => JSON.stringify(document));

test("any configuration is checked and compared without an exception, and each finding has its place", () => {
  fc.assert(
    fc.property(oddConfig, oddConfig, (before, after) => {
      for (const { line, column } of checkConfigFile("c.json", after))
        assert.ok(line >= 1 && column >= 1);
      compareConfigTexts(before, after);
    }),
    { numRuns: 2000 },
  );
});

test("any file is checked without an exception", () => {
  const text = fc.oneof(fc.string(), fc.json(), oddConfig);
  const file = fc.constantFrom("f.json", "f.toml", "f");
  fc.assert(
    fc.property(file, text, (name, content) => {
      checkRead({ file: name, text: content });
    }),
  );
});

for (const file of ["f.json", "f.toml"])
  test(`a text nested too deeply has a finding: ${file}`, () => {
    const text = `{"routes": ${"[".repeat(200_000)}`;
    assert.ok(checkRead({ file, text }).length > 0);
    const closed = `{"routes": ${"[".repeat(20_000)}${"]".repeat(20_000)}}`;
    assert.ok(checkRead({ file, text: closed }).length > 0);
    const toml = `a = ${"[".repeat(20_000)}${"]".repeat(20_000)}`;
    assert.equal(repeatSettingsOf(toml), undefined);
  });

test("attempts that the settings' budget of repeats never pays are found", () => {
  const file = { file: "c.json", text: JSON.stringify(configWith()) };
  const messagesOf = (repeatShare: number, extraRepeats: number) =>
    checkRead(file, { repeatShare, extraRepeats }).map(
      ({ message }) => message,
    );
  assert.deepEqual(messagesOf(0, 0), [
    "the settings leave no repeats: further attempts are never made",
  ]);
  assert.deepEqual(messagesOf(0.1, 0), []);
  assert.deepEqual(messagesOf(0, 1), []);
});
