import assert from 'node:assert/strict';
import test from 'node:test';
import { Random, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { SimulatedDisk } from '../simulation/SimulatedDisk';
import { SLOW_WRITE_MS, TimedDisk } from './TimedDisk';

const BYTES = Buffer.from('entry');

async function recordedWrites(slownessMs: number, writes: number): Promise<number[]> {
  const timer = new VirtualTimer();
  const inner = new SimulatedDisk(timer, new Random(1));
  inner.slownessMs = slownessMs;
  const journal = createSilentJournal(timer);
  const disk = new TimedDisk(inner, timer, journal);
  for (let write = 0; write < writes; write += 1) {
    const written = disk.append('log', BYTES);
    timer.advance(slownessMs + 10);
    await written;
  }
  return journal.recent().map(({ fields }) => Number(fields.writes));
}

// Guards against a group that misses its times on a slow disk, of which no line tells.
test('slow writes are recorded, at most once a second', async () => {
  assert.deepEqual(await recordedWrites(SLOW_WRITE_MS, 12), [1, 10]);
});

test('fast writes are not recorded', async () => {
  assert.deepEqual(await recordedWrites(0, 12), []);
});
