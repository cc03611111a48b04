// Bundles the relay into one file below target/, so that a start loads little.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/cardamomglade.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  sourcemap: false,
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
