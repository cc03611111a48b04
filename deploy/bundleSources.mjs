// Bundles from the sources of the repository's packages: what was compiled before may be of other sources.
import { readFileSync } from "node:fs";
import path from "node:path";

const scope = "@cardamomglade/";

const sourceOf = (root, imported) => {
  const [name, ...subpath] = imported.slice(scope.length).split("/");
  const folder = path.join(root, "packages", name);
  const manifest = readFileSync(path.join(folder, "package.json"), "utf8");
  const compiled = JSON.parse(manifest).exports[[".", ...subpath].join("/")];
  const source = compiled.default
    .replace(/^\.\/dist\//, "src/")
    .replace(/\.js$/, ".ts");
  return path.join(folder, source);
};

/** Returns a plugin of esbuild that resolves imports of the repository's packages to their sources. */
export const bundleSources = (root) => ({
  name: "bundle-sources",
  setup: ({ onResolve }) => {
    onResolve({ filter: new RegExp(`^${scope}`) }, ({ path: imported }) => ({
      path: sourceOf(root, imported),
    }));
  },
});
