// Installs the packages of package-lock.json unless those in node_modules are whole and fit this machine.
import { execFileSync } from "node:child_process";
import { readFileSync, realpathSync } from "node:fs";
import path from "node:path";

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

const checkPackages = (root) => {
  const wanted = readJson(path.join(root, "package-lock.json")).packages;
  const installed = readJson(path.join(root, installedLock)).packages;
  for (const [name, entry] of Object.entries(wanted)) {
    if (!name.startsWith("node_modules/") || !isNeeded(entry)) continue;
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

const reasonToInstall = (root) => {
  try {
    checkPackages(root);
    checkBundler(root);
    return undefined;
  } catch (err) {
    return err.message.split("\n")[0];
  }
};

/** Installs the packages if those in node_modules are not whole or not for this machine. */
export const installPackages = (root) => {
  const reason = reasonToInstall(root);
  if (!reason) return;
  console.error(`installing the packages: ${reason}`);
  execFileSync("npm", npmArguments, { cwd: root, stdio: ["ignore", 2, 2] });
};
