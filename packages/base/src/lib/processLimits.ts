import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';

/** Part of the heap's limit for bodies, which are held beside the heap. */
const HEAP_SHARE = 1 / 4;

/** Part of the heap that is free after the start for requests; the rest is for other state and for garbage. */
const REQUEST_HEAP_SHARE = 1 / 3;

/** Part of a limit on the memory of the whole process for bodies; the rest is for the heap and code. */
const MEMORY_SHARE = 1 / 8;

/** Part of the descriptors for connections whose request has not arrived completely. */
const UNFINISHED_SHARE = 1 / 4;

/** Memory of one unfinished request besides its body: its connection, parser and headers, in bytes. */
const REQUEST_BYTES = 16 * 1024;

/** Descriptors of a process whose limit cannot be read: the usual limit of a login. */
const USUAL_DESCRIPTORS = 1024;

/** Bytes that the process may hold of bodies by the limits of its memory. @public */
export function defaultBodyBudgetBytes(): number {
  const constrained = process.constrainedMemory();
  const ofMemory = constrained && constrained > 0 ? constrained * MEMORY_SHARE : Infinity;
  return Math.floor(Math.min(getHeapStatistics().heap_size_limit * HEAP_SHARE, ofMemory));
}

/** Bytes of the heap that requests may take, by what a process that has just started leaves of it. @public */
export function defaultRequestHeapBytes(): number {
  const { heap_size_limit: limit, used_heap_size: used } = getHeapStatistics();
  return Math.floor(Math.max(0, limit - used) * REQUEST_HEAP_SHARE);
}

/** Number of descriptors that the process may have open. @public */
export function maxDescriptors(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    const [, text = ''] = /^Max open files\s+(\S+)/m.exec(limits) ?? [];
    return text === 'unlimited' ? Infinity : Number(text) || USUAL_DESCRIPTORS;
  } catch {
    // Systems without /proc have the usual limit.
    return USUAL_DESCRIPTORS;
  }
}

/** Number of requests that may be unfinished at the same time, by the budget of their bytes. @public */
export function defaultMaxUnfinished(budgetBytes: number): number {
  return Math.floor(Math.min(maxDescriptors() * UNFINISHED_SHARE, budgetBytes / REQUEST_BYTES));
}
