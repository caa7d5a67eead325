/**
 * Measures how processor time and memory of the roles grow with the number of endpoints, without
 * traffic: what each role spends for control alone. The last line is one JSON object.
 */
import { readFileSync } from 'node:fs';
import { Deployment } from '../src';

const SIZES = [4, 8, 16];
const ENTRIES = 2;
const SETTLE_MS = 4000;
const WINDOW_MS = 8000;
const TICKS_PER_S = 100;
const KB_PER_MB = 1024;

const PLANS = `
[classes.chat]
first_token_ms = 1400
[plans.standard]
classes = { chat = 1 }
default_class = "chat"
models = ["crew-8b"]
`;
const CUSTOMERS = '[customers.thapathali-traps]\nplan = "standard"\n';

interface Reading {
  readonly ticks: number;
  readonly residentMb: number;
}

function read(pid: number): Reading {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
  return { ticks: Number(fields[11]) + Number(fields[12]), residentMb: residentKb / KB_PER_MB };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function measure(size: number): Promise<Record<string, unknown>> {
  const endpoints = Array.from({ length: size }, (_, index) => ({
    name: `engine-${index + 1}`,
    kind: 'engine' as const,
    dataCentre: 'naas',
    models: ['crew-8b'],
  }));
  const plan = { entries: ENTRIES, controls: 3, dataCentres: ['naas'], endpoints };
  const deployment = new Deployment({ ...plan, plans: PLANS, customers: CUSTOMERS });
  try {
    await deployment.start();
    await sleep(SETTLE_MS);
    const names = ['control-1', 'control-2', 'control-3', 'entry-1', 'sidecar-engine-1'];
    const pids = names.map((name) => deployment.process(name).pid ?? 0);
    const before = pids.map(read);
    await sleep(WINDOW_MS);
    const after = pids.map(read);
    const shares = names.map((name, index) => {
      const ticks = (after[index]?.ticks ?? 0) - (before[index]?.ticks ?? 0);
      const corePercent = (ticks / TICKS_PER_S / (WINDOW_MS / 1000)) * 100;
      return [name, { corePercent, residentMb: Math.round(after[index]?.residentMb ?? 0) }];
    });
    return { endpoints: size, entries: ENTRIES, ...Object.fromEntries(shares) } as object as Record<
      string,
      unknown
    >;
  } finally {
    await deployment.close();
  }
}

const rows: Record<string, unknown>[] = [];
for (const size of SIZES) {
  const row = await measure(size);
  process.stdout.write(`${JSON.stringify(row)}\n`);
  rows.push(row);
}
process.stdout.write(`${JSON.stringify({ rows })}\n`);
