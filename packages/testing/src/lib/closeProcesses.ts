import type { ChildProcess } from './ChildProcess';

/** Number of lines that an error lists. */
const MAX_LISTED_LINES = 20;

/**
 * Ends processes under test.
 * @throws if one of them has written anything but log lines and what the test expects.
 * @public
 */
export async function closeProcesses(children: Iterable<ChildProcess>): Promise<void> {
  const all = [...children];
  for (const child of all) child.thaw();
  await Promise.all(all.map((child) => child.kill()));
  const lines = all.flatMap((child) =>
    child.findUnexpectedLines().map((line) => `${child.name}: ${line}`),
  );
  if (lines.length === 0) return;
  const listed = lines.slice(0, MAX_LISTED_LINES).join('\n');
  throw new Error(`${lines.length} unexpected lines of output:\n${listed}`);
}
