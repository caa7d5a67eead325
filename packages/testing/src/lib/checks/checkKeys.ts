import type { EndpointHistories } from './Run';
import type { Violation } from './Violation';

/** No endpoint has seen the secret of a key, in whatever part of a request. @public */
export function checkKeys(histories: EndpointHistories, secrets: readonly string[]): Violation[] {
  return [...histories].flatMap(([endpoint, records]) =>
    records
      .filter((record) => {
        const seen = JSON.stringify(record);
        return secrets.some((secret) => seen.includes(secret));
      })
      .map(({ at, kind }) => ({
        check: 'keys',
        detail: `${endpoint} saw the secret of a key in a "${kind}" at ${at}`,
      })),
  );
}
