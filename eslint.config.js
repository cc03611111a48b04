// ESLint configuration: the strict and stylistic rule sets of typescript-eslint, doc comments on exports, allowed imports between packages.
import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

// Workspace packages that each folder may import.
const allowedImports = {
  "packages/common": [],
  "packages/observe": ["common"],
  "packages/schema": ["common"],
  "packages/relay": ["common", "observe"],
  platform: ["common", "observe", "platform", "relay"],
  "packages/decisions": ["common", "schema"],
  "packages/platform": ["common", "schema"],
  "packages/upstream": ["common", "schema"],
  "packages/peers": ["common", "schema"],
  "packages/client": ["common"],
  "packages/router": [
    "common",
    "schema",
    "decisions",
    "observe",
    "platform",
    "upstream",
    "peers",
  ],
  "packages/cli": ["common", "schema", "router", "platform", "users-platform"],
  "stand-ins": ["common", "schema"],
};

const workspacePackages = [
  "common",
  "observe",
  "schema",
  "decisions",
  "relay",
  "platform",
  "upstream",
  "peers",
  "client",
  "router",
  "stand-ins",
  "users-platform",
  "bench",
];

const directionOf = ([folder, allowed]) => ({
  files: [`${folder}/src/**/*.ts`],
  ignores: ["**/*.test.ts"],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        paths: workspacePackages
          .filter((name) => !allowed.includes(name))
          .map((name) => ({
            name: `@cardamomglade/${name}`,
            message: `${folder} must not import ${name}`,
          })),
      },
    ],
  },
});

// The system clock can jump; the monotonic clock of `common` cannot.
const monotonicTime = {
  files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
  rules: {
    "no-restricted-properties": [
      "error",
      { object: "Date", property: "now", message: "use now() of common" },
    ],
  },
};

// Decision code is deterministic: time comes from the event, random numbers from the state.
const pureDecisions = {
  files: [
    "packages/decisions/src/**/*.ts",
    "packages/relay/src/decisions/**/*.ts",
  ],
  ignores: ["**/*.test.ts"],
  rules: {
    "no-restricted-properties": [
      "error",
      { object: "Date", property: "now", message: "time comes on the event" },
      { object: "Math", property: "random", message: "draw from the state" },
      {
        object: "performance",
        property: "now",
        message: "time comes on the event",
      },
    ],
    "no-restricted-globals": [
      "error",
      "setTimeout",
      "setInterval",
      "fetch",
      "process",
    ],
  },
};

export default tseslint.config(
  {
    ignores: [
      "**/dist/**",
      "**/node_modules/**",
      "**/generated/**",
      "**/results/**",
      "target/**",
    ],
  },
  js.configs.recommended,
  {
    files: ["**/*.ts"],
    extends: [
      ...tseslint.configs.strictTypeChecked,
      ...tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          require: {
            ArrowFunctionExpression: true,
            ClassDeclaration: true,
            FunctionDeclaration: true,
          },
          contexts: [
            "TSInterfaceDeclaration",
            "TSTypeAliasDeclaration",
            "TSEnumDeclaration",
            "VariableDeclaration",
          ],
          enableFixer: false,
        },
      ],
    },
  },
  {
    files: ["**/*.test.ts"],
    rules: {
      // The functions of node:test return promises that the test runner awaits.
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          allowForKnownSafeCalls: [
            {
              from: "package",
              package: "node:test",
              name: ["test", "describe", "it", "before", "after"],
            },
          ],
        },
      ],
    },
  },
  {
    files: ["**/*.mjs", "**/*.js"],
    languageOptions: {
      globals: { console: "readonly", process: "readonly", URL: "readonly" },
    },
  },
  monotonicTime,
  pureDecisions,
  ...Object.entries(allowedImports).map(directionOf),
);
