/** Reloads TLS files when they change. */

import { readFile } from "node:fs/promises";
import { unwatchFile, watchFile } from "node:fs";
import { createSecureContext, type SecureContextOptions } from "node:tls";
import { LogLevel, type ClientTlsSettings } from "@cardamomglade/schema";
import type { Log } from "../log.js";

const pollIntervalMs = 1000;

/** Private key, certificate and certificate authority as PEM text. */
export interface TlsMaterial {
  readonly key?: string;
  readonly cert?: string;
  readonly ca?: string;
}

/** Called with new, valid content of the files. */
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

// Throws if the content is invalid. A key and a certificate that are replaced one after the other do not match for a short time.
const assertUsable = (material: SecureContextOptions): void => {
  createSecureContext(material);
};

/** The current valid content of the TLS files of one settings entry. */
export class TlsFiles {
  private readonly listeners: TlsListener[] = [];

  private constructor(
    private readonly settings: ClientTlsSettings,
    private readonly log: Log,
    private material: TlsMaterial,
  ) {}

  /** Reads the files; throws if their content is invalid. */
  static async create(
    settings: ClientTlsSettings,
    log: Log,
  ): Promise<TlsFiles> {
    const material = await readMaterial(settings);
    assertUsable(material);
    const files = new TlsFiles(settings, log, material);
    for (const file of files.paths()) {
      const options = { interval: pollIntervalMs, persistent: false };
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

  /** Reloads the files; keeps the previous content if the new one is invalid. */
  async reload(): Promise<void> {
    const names = this.paths().join('", "');
    try {
      const material = await readMaterial(this.settings);
      assertUsable(material);
      this.material = material;
      for (const listener of this.listeners) listener(material);
      this.log(LogLevel.Info, `TLS files "${names}" reloaded`);
    } catch (error) {
      const detail = String(error);
      this.log(
        LogLevel.Warn,
        `TLS files "${names}" could not be reloaded; the previous content stays in use`,
        {
          detail,
        },
      );
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
