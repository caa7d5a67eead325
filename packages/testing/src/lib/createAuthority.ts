import { execFileSync } from 'node:child_process';
import { join } from 'node:path';

/** Files of a certificate that a test authority has signed. @public */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

function openssl(folder: string, ...args: string[]): void {
  execFileSync('openssl', args, { cwd: folder, stdio: 'pipe' });
}

/** A test authority in a folder, made with the `openssl` command. @public */
export function createAuthority(folder: string, name = 'authority') {
  const key = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes'];
  const files = ['-keyout', `${name}.key`, '-out', `${name}.pem`];
  openssl(folder, 'req', '-x509', ...key, ...files, '-days', '2', '-subj', `/CN=${name}`);
  return {
    file: join(folder, `${name}.pem`),
    sign(subject: string): CertificateFiles {
      const request = ['-keyout', `${subject}.key`, '-out', `${subject}.csr`];
      openssl(folder, 'req', ...key, ...request, '-subj', `/CN=${subject}`);
      const authority = ['-CA', `${name}.pem`, '-CAkey', `${name}.key`, '-CAcreateserial'];
      const output = ['-in', `${subject}.csr`, '-out', `${subject}.pem`, '-days', '2'];
      openssl(folder, 'x509', '-req', ...authority, ...output);
      return {
        certificate: join(folder, `${subject}.pem`),
        key: join(folder, `${subject}.key`),
      };
    },
  };
}
