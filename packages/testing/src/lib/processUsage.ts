import { readFileSync } from 'node:fs';

/** Clock ticks of the kernel's accounts in a second. */
const TICKS_PER_S = 100;

const KB_PER_MB = 1024;

/** Processor time that a process has used since its start, in seconds. @public */
export function processorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name of the command stands in parentheses and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

/** Resident memory of a process, in whole megabytes. @public */
export function residentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Math.round(Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / KB_PER_MB);
}
