/** TLS files that are read again when they change. */

import { readFile } from "node:fs/promises";
import { unwatchFile, watchFile } from "node:fs";
import { createSecureContext, type SecureContextOptions } from "node:tls";
import { LogLevel, type TlsSettings } from "@cardamomglade/schema";
import type { Log } from "../log.js";

const pollEveryMs = 1000;

/** Key, certificate and authority as PEM text. */
export interface TlsMaterial {
  readonly key: string;
  readonly cert: string;
  readonly ca?: string;
}

/** Told when the files hold new, usable content. */
export type TlsListener = (material: TlsMaterial) => void;

const readMaterial = async (settings: TlsSettings): Promise<TlsMaterial> => {
  const key = await readFile(settings.keyFile, "utf8");
  const cert = await readFile(settings.certificateFile, "utf8");
  if (settings.authorityFile === undefined) return { key, cert };
  const ca = await readFile(settings.authorityFile, "utf8");
  return { key, cert, ca };
};

// A key and a certificate that are replaced one after the other do not match for a moment.
const assertUsable = (material: SecureContextOptions): void => {
  createSecureContext(material);
};

/** The newest usable content of the TLS files of one settings entry. */
export class TlsFiles {
  private readonly listeners: TlsListener[] = [];

  private constructor(
    private readonly settings: TlsSettings,
    private readonly log: Log,
    private material: TlsMaterial,
  ) {}

  /** Reads the files; throws where they cannot be used. */
  static async create(settings: TlsSettings, log: Log): Promise<TlsFiles> {
    const material = await readMaterial(settings);
    assertUsable(material);
    const files = new TlsFiles(settings, log, material);
    for (const file of files.paths()) {
      const options = { interval: pollEveryMs, persistent: false };
      watchFile(file, options, () => void files.reload());
    }
    return files;
  }

  current(): TlsMaterial {
    return this.material;
  }

  onChange(listener: TlsListener): void {
    this.listeners.push(listener);
  }

  /** Reads the files again; keeps the old content where the new is not usable. */
  async reload(): Promise<void> {
    const { certificateFile } = this.settings;
    try {
      const material = await readMaterial(this.settings);
      assertUsable(material);
      this.material = material;
      for (const listener of this.listeners) listener(material);
      this.log(
        LogLevel.Info,
        `certificate "${certificateFile}" was read again`,
      );
    } catch (error) {
      const detail = String(error);
      this.log(
        LogLevel.Warn,
        `certificate "${certificateFile}" is not usable`,
        { detail },
      );
    }
  }

  close(): void {
    for (const file of this.paths()) unwatchFile(file);
  }

  private paths(): string[] {
    const { keyFile, certificateFile, authorityFile } = this.settings;
    const paths = [keyFile, certificateFile];
    return authorityFile === undefined ? paths : [...paths, authorityFile];
  }
}
