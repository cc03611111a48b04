// Installs the packages if need be, compiles, and builds the bundle of the deploy file. Can be run at any time.
import { execFileSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { installPackages } from "../deploy/installPackages.mjs";
import { compileSources } from "./compileSources.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

installPackages(root);
compileSources(root);
execFileSync(process.execPath, ["deploy/build.mjs"], {
  cwd: root,
  stdio: ["ignore", 2, 2],
});
