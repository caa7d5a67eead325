/** Longest value of a header that the gateway sets, in characters; far below the limits on a head. */
const MAX_LENGTH = 1024;

/** Visible ASCII with single blanks inside, the only text that every HTTP implementation reads alike. */
const FIELD_VALUE = /^[!-~]+(?: [!-~]+)*$/;

/** Whether a text can be sent as the value of a header, and arrives unchanged. @public */
export function isFieldValue(text: string): boolean {
  return text.length <= MAX_LENGTH && FIELD_VALUE.test(text);
}
