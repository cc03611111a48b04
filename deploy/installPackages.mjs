// Installs the packages of package-lock.json unless those in node_modules are whole and fit this machine.
import { execFileSync } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  readFileSync,
  realpathSync,
  renameSync,
  rmSync,
} from "node:fs";
import path from "node:path";
import { withLock } from "./withLock.mjs";

// Whatever the environment or the user's npm settings leave out by default.
const npmArguments = ["ci", "--include=dev", "--include=optional"];
const installedLock = "node_modules/.package-lock.json"; // npm writes it last

const readJson = (file) => JSON.parse(readFileSync(file, "utf8"));

const fits = (allowed, value) => !allowed || allowed.includes(value);

/** Whether this machine needs the package; of those for one C library npm decides. */
const isNeeded = ({ optional, os, cpu, libc }) => {
  if (!optional) return true;
  return (
    Boolean(os) &&
    !libc &&
    fits(os, process.platform) &&
    fits(cpu, process.arch)
  );
};

const isPresent = (root, name, { link, resolved, version }) => {
  const folder = path.join(root, name);
  // A link that was copied as a folder holds sources of that time.
  if (link)
    return realpathSync(folder) === realpathSync(path.join(root, resolved));
  return readJson(path.join(folder, "package.json")).version === version;
};

/** Whether the bundle contains the package, or is made with it. */
const isBundled = (name, { dev }) =>
  !dev || /^node_modules\/(@esbuild\/|esbuild$)/.test(name);

const checkPackages = (root, isChecked) => {
  const wanted = readJson(path.join(root, "package-lock.json")).packages;
  const installed = readJson(path.join(root, installedLock)).packages;
  for (const [name, entry] of Object.entries(wanted)) {
    if (!name.startsWith("node_modules/") || !isNeeded(entry)) continue;
    if (!isChecked(name, entry)) continue;
    if (installed[name]?.integrity !== entry.integrity)
      throw new Error(`${name} is not as in package-lock.json`);
    if (!isPresent(root, name, entry))
      throw new Error(`${name} is of another version`);
  }
};

const checkBundler = (root) =>
  execFileSync(
    process.execPath,
    ["-e", "require('esbuild').transformSync('')"],
    { cwd: root, stdio: "pipe" },
  );

const reasonToInstall = (root, isChecked = () => true) => {
  try {
    checkPackages(root, isChecked);
    checkBundler(root);
    return undefined;
  } catch (err) {
    return err.message.split("\n")[0];
  }
};

/** Moves the packages away; those that an installation left there when it was killed are older and whole. */
const putAside = (packages, aside) => {
  if (existsSync(aside)) rmSync(packages, { recursive: true, force: true });
  else if (existsSync(packages)) renameSync(packages, aside);
};

/** npm removes all packages before it installs; if it fails, those of before are put back. */
const install = (root) => {
  const packages = path.join(root, "node_modules");
  const aside = path.join(root, "target", "packages-before");
  mkdirSync(path.dirname(aside), { recursive: true });
  putAside(packages, aside);
  try {
    execFileSync("npm", npmArguments, { cwd: root, stdio: ["ignore", 2, 2] });
  } catch (err) {
    if (existsSync(aside)) {
      rmSync(packages, { recursive: true, force: true });
      renameSync(aside, packages);
    }
    throw err;
  }
  rmSync(aside, { recursive: true, force: true });
};

const installUnlessBundled = (root) => {
  // Another process may have installed them meanwhile.
  const reason = reasonToInstall(root);
  if (!reason) return;
  console.error(`installing the packages: ${reason}`);
  try {
    install(root);
  } catch (err) {
    const missing = reasonToInstall(root, isBundled);
    if (missing) throw new Error(`no packages: ${missing}`, { cause: err });
    console.error(`going on with what the bundle needs: ${err.message}`);
  }
};

/**
 * Installs the packages if those in node_modules are not whole or not for this machine.
 * If that fails, those that the bundle needs are enough.
 */
export const installPackages = (root) => {
  if (!reasonToInstall(root)) return;
  withLock(path.join(root, "target", "installing"), () => {
    installUnlessBundled(root);
  });
};
