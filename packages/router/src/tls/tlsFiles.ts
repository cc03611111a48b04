/** TLS files that are read again when they change. */

import { readFile } from "node:fs/promises";
import { unwatchFile, watchFile } from "node:fs";
import { createSecureContext, type SecureContextOptions } from "node:tls";
import { LogLevel, type ClientTlsSettings } from "@cardamomglade/schema";
import type { Log } from "../log.js";

const pollEveryMs = 1000;

/** Key, certificate and authority as PEM text. */
export interface TlsMaterial {
  readonly key?: string;
  readonly cert?: string;
  readonly ca?: string;
}

/** Told when the files hold new, usable content. */
export type TlsListener = (material: TlsMaterial) => void;

const readMaterial = async ({
  keyFile,
  certificateFile,
  authorityFile,
}: ClientTlsSettings): Promise<TlsMaterial> => ({
  ...(keyFile && { key: await readFile(keyFile, "utf8") }),
  ...(certificateFile && { cert: await readFile(certificateFile, "utf8") }),
  ...(authorityFile && { ca: await readFile(authorityFile, "utf8") }),
});

// A key and a certificate that are replaced one after the other do not match for a moment.
const assertUsable = (material: SecureContextOptions): void => {
  createSecureContext(material);
};

/** The newest usable content of the TLS files of one settings entry. */
export class TlsFiles {
  private readonly listeners: TlsListener[] = [];

  private constructor(
    private readonly settings: ClientTlsSettings,
    private readonly log: Log,
    private material: TlsMaterial,
  ) {}

  /** Reads the files; throws where they cannot be used. */
  static async create(
    settings: ClientTlsSettings,
    log: Log,
  ): Promise<TlsFiles> {
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
    const names = this.paths().join('", "');
    try {
      const material = await readMaterial(this.settings);
      assertUsable(material);
      this.material = material;
      for (const listener of this.listeners) listener(material);
      this.log(LogLevel.Info, `TLS files "${names}" were read again`);
    } catch (error) {
      const detail = String(error);
      this.log(LogLevel.Warn, `TLS files "${names}" are not usable`, {
        detail,
      });
    }
  }

  close(): void {
    for (const file of this.paths()) unwatchFile(file);
  }

  private paths(): string[] {
    const { keyFile, certificateFile, authorityFile } = this.settings;
    const paths = [keyFile, certificateFile, authorityFile];
    return paths.filter((file) => file !== undefined);
  }
}
