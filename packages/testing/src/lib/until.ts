const POLL_MS = 20;

/**
 * Waits until the condition holds; an error of the condition counts as false.
 * @throws when it does not hold within the limit, in milliseconds.
 * @public
 */
export async function until(
  what: string,
  condition: () => Promise<boolean> | boolean,
  limitMs = 15_000,
): Promise<void> {
  const deadline = Date.now() + limitMs;
  let last: unknown;
  while (Date.now() < deadline) {
    try {
      if (await condition()) return;
    } catch (error) {
      last = error;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  const reason = last === undefined ? '' : `: ${String(last)}`;
  throw new Error(`not within ${limitMs} ms: ${what}${reason}`);
}
