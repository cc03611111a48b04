// Bundles the relay into a single minified file in target/ to keep its start-up short.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/cardamomglade.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  // Without the native addon, whose search for binaries slows the start.
  alias: { msgpackr: "msgpackr/pack" },
  format: "esm",
  minify: true,
  sourcemap: false,
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
