/**
 * Measures how processor time and memory of the roles grow with the number of endpoints, without
 * traffic: what each role spends for control alone. The last line is one JSON object.
 */
import { Deployment, processorSeconds, residentMegabytes } from '../src';
import { CUSTOMERS, PLANS } from './lists';

const SIZES = [4, 8, 16];
const ENTRIES = 2;
const SETTLE_MS = 4000;
const WINDOW_MS = 8000;

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
    const before = pids.map(processorSeconds);
    await sleep(WINDOW_MS);
    const after = pids.map(processorSeconds);
    const shares = names.map((name, index) => {
      const usedS = (after[index] ?? 0) - (before[index] ?? 0);
      const corePercent = (usedS / (WINDOW_MS / 1000)) * 100;
      return [name, { corePercent, residentMb: residentMegabytes(pids[index] ?? 0) }];
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
