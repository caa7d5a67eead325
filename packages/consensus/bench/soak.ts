/**
 * Explores random schedules of faults: `--seed` is the first one (1 by default), `--count` their
 * number (10000). Ends at the first violation and prints its seed; the last line is one JSON object.
 */
import { parseArgs } from 'node:util';
import { explore, type Exploration } from '../src/simulation/explore';

const DEFAULT_COUNT = 10_000;
const REPORT_INTERVAL = 500;

/** Kinds of schedule that take turns. */
const PROFILES: readonly Omit<Exploration, 'seed'>[] = [
  {},
  { weights: { cutPair: 12, partition: 8, changeQuality: 8, heal: 12 } },
  { weights: { loseDisk: 10, damageDisk: 5, crash: 8 } },
  { replicas: 5 },
  { weights: { freeze: 10, transfer: 8, crashLeader: 8 }, clients: 5 },
  { weights: { changeMembership: 10, crash: 8, partition: 6 } },
];

/** The schedule of a seed. */
function exploration(seed: number): Exploration {
  return { ...PROFILES[seed % PROFILES.length], seed };
}

function print(line: string): void {
  // eslint-disable-next-line no-console -- the output of the program
  console.log(line);
}

const { values } = parseArgs({ options: { seed: { type: 'string' }, count: { type: 'string' } } });
const first = Number(values.seed ?? 1);
const count = Number(values.count ?? DEFAULT_COUNT);
const totals = { schedules: 0, operations: 0, acknowledged: 0, violations: 0 };
for (let seed = first; seed < first + count; seed += 1) {
  const finding = await explore(exploration(seed));
  totals.schedules += 1;
  totals.operations += finding.operations;
  totals.acknowledged += finding.acknowledged;
  if (finding.violations.length > 0) {
    totals.violations += 1;
    print(`seed ${seed}: ${finding.violations.join('; ')}`);
    process.exitCode = 1;
    break;
  }
  if (totals.schedules % REPORT_INTERVAL === 0) print(`${totals.schedules} schedules`);
}
print(JSON.stringify({ seed: first, ...totals }));
