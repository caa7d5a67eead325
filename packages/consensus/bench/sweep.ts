/**
 * Sweeps planned stops beside losses: `--voters` is 3 or 5, `--seed` the first phase of the timers (1 by default),
 * `--count` their number (1), `--step` the distance of two offsets in milliseconds (100). `--shard I/N` runs each
 * Nth point from the Ith on. `--sync` is the time that each sync takes longer, `--start` the time until the process
 * of a started machine runs, both in milliseconds (0). Prints each violated point; the last line is one JSON object.
 */
import { parseArgs } from 'node:util';
import { stopBesideLoss } from '../src/simulation/stopBesideLoss';
import { sweepStops } from '../src/simulation/sweepStops';

const FIRST_OFFSET_MS = -2000;
const LAST_OFFSET_MS = 5000;

function print(line: string): void {
  // eslint-disable-next-line no-console -- the output of the program
  console.log(line);
}

const { values } = parseArgs({
  options: {
    voters: { type: 'string', default: '3' },
    seed: { type: 'string', default: '1' },
    count: { type: 'string', default: '1' },
    step: { type: 'string', default: '100' },
    shard: { type: 'string', default: '1/1' },
    sync: { type: 'string', default: '0' },
    start: { type: 'string', default: '0' },
  },
});
const voters = values.voters === '5' ? 5 : 3;
const first = Number(values.seed);
const [shard = 1, shards = 1] = values.shard.split('/').map(Number);
const points = sweepStops({
  voters,
  seeds: Array.from({ length: Number(values.count) }, (_, at) => first + at),
  firstOffsetMs: FIRST_OFFSET_MS,
  lastOffsetMs: LAST_OFFSET_MS,
  stepMs: Number(values.step),
  delaysMs: [0, 200, 1000],
  kinds: ['machine', 'disk', 'freeze'],
  syncMs: Number(values.sync),
  startMs: Number(values.start),
}).filter((_, at) => at % shards === shard - 1);
const violated = new Map<string, number>();
let violations = 0;
for (const point of points) {
  const finding = await stopBesideLoss(point);
  if (finding.violations.length > 0) {
    violations += 1;
    const { stopped, lost, kind } = point;
    const roles = `${stopped} stops, ${kind} of ${lost}`;
    violated.set(roles, (violated.get(roles) ?? 0) + 1);
    print(`${JSON.stringify(point)}: ${finding.violations.join('; ')}`);
    process.exitCode = 1;
  }
}
print(JSON.stringify({ points: points.length, violations, ...Object.fromEntries(violated) }));
