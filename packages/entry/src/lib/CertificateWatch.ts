import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import { entryEvents } from './events';

/** Files of the certificate presented to callers. @public */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

/** Certificate and private key for a TLS server. @internal */
export interface Certificate {
  readonly cert: Buffer;
  readonly key: Buffer;
}

const CHECK_INTERVAL_MS = 2000;

/** Polls the certificate's files and reloads them when their content changes. @internal */
export class CertificateWatch implements Disposable {
  /** Called with each new certificate that matches its key. */
  onChange: (certificate: Certificate) => void = () => {};

  readonly #files: CertificateFiles;

  readonly #journal: Journal;

  readonly #store = new DisposableStore();

  #current: Certificate;

  /**
   * @throws when the files cannot be read.
   */
  constructor(files: CertificateFiles, timer: Timer, journal: Journal) {
    this.#files = files;
    this.#journal = journal;
    this.#current = readCertificate(files);
    this.#store.add(timer.every(CHECK_INTERVAL_MS, () => this.check()));
  }

  get current(): Certificate {
    return this.#current;
  }

  /** Reloads the files if they have changed. An unusable pair is logged and not applied. */
  check(): void {
    try {
      const next = readCertificate(this.#files);
      if (next.cert.equals(this.#current.cert) && next.key.equals(this.#current.key)) return;
      createSecureContext(next);
      this.#current = next;
      this.onChange(next);
      this.#journal.record(entryEvents.certificateReloaded, { file: this.#files.certificate });
    } catch (error) {
      this.#journal.record(entryEvents.certificateUnusable, { error: String(error) });
    }
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }
}

function readCertificate({ certificate, key }: CertificateFiles): Certificate {
  return { cert: readFileSync(certificate), key: readFileSync(key) };
}
