import type { CallerRecord } from './CallerRecord';
import type { Violation } from './Violation';

/** Every answer is whole and its own, or ends with a stated error. @public */
export function checkAnswers(callers: readonly CallerRecord[]): Violation[] {
  const answered = callers.filter(({ status, error }) => status === 200 && error === undefined);
  return answered
    .filter(({ isWhole, text, expected }) => !isWhole || text !== expected)
    .map(({ digest, isWhole, text, expected }) => {
      const fault = isWhole ? 'is not the answer to the request' : 'was cut without an error';
      const detail = `${digest}: ${fault}; got ${text.length} of ${expected.length} characters`;
      return { check: 'answers', detail };
    });
}
