/** One step of a path in a TOML document: a key or an array index. @internal */
export type Step = string | number;

const HEADER = /^\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$/;

function matchHeader(line: string): { keys: string[]; isArray: boolean } | undefined {
  const match = HEADER.exec(line);
  if (!match?.[1]) return undefined;
  const keys = match[1].split('.').map((key) => key.trim().replace(/^["']|["']$/g, ''));
  return { keys, isArray: line.trim().startsWith('[[') };
}

/** Splits a path into its keys, each with the array index that follows it, or 0 if none does. */
function splitPath(path: readonly Step[]): { key: string; index: number }[] {
  const result: { key: string; index: number }[] = [];
  for (const step of path) {
    const last = result.at(-1);
    if (typeof step === 'string') result.push({ key: step, index: 0 });
    else if (last) last.index = step;
  }
  return result;
}

/**
 * Returns the line, counted from 1, on which a field of a TOML document is set. If the key is not
 * found, returns the line of the deepest table header that matches the path, or 0.
 * @internal
 */
export function locate(text: string, path: readonly Step[]): number {
  const parts = splitPath(path);
  let best = { depth: 0, line: 0 };
  let prefix: string[] = [];
  const arrayIndexes = new Map<string, number>();
  let matches = true;
  text.split('\n').forEach((line, number) => {
    const header = matchHeader(line);
    if (header) {
      prefix = header.keys;
      const name = prefix.join('.');
      if (header.isArray) arrayIndexes.set(name, (arrayIndexes.get(name) ?? -1) + 1);
      matches = prefix.every((key, depth) => {
        const arrayIndex = arrayIndexes.get(prefix.slice(0, depth + 1).join('.'));
        const part = parts[depth];
        return part?.key === key && (arrayIndex === undefined || arrayIndex === part.index);
      });
      if (matches && prefix.length > best.depth) best = { depth: prefix.length, line: number + 1 };
      return;
    }
    const next = parts[prefix.length]?.key;
    if (!matches || !next) return;
    const key = /^\s*["']?([\w-]+)["']?\s*[=.]/.exec(line)?.[1];
    if (key === next && prefix.length + 1 > best.depth) {
      best = { depth: prefix.length + 1, line: number + 1 };
    }
  });
  return best.line;
}
