import assert from 'node:assert/strict';
import { existsSync } from 'node:fs';
import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { SystemTimer, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { settle } from '../fixtures/originLog';
import { waitUntil, withDirectory } from '../fixtures/meshes';
import { StateCache } from './StateCache';

const CONFIGURATION = { version: 7, body: Buffer.from('seven') };

const EVACUATIONS = { revision: 12, dataCentres: ['a'] };

function openCache(directory: string, timer = new SystemTimer()): StateCache {
  return new StateCache(directory, timer, createSilentJournal(timer));
}

/** Writes both values and waits until they are on disk. */
async function fill(directory: string): Promise<void> {
  const cache = openCache(directory);
  cache.writeConfiguration(CONFIGURATION);
  cache.writeEvacuations(EVACUATIONS);
  const files = ['configuration.cache', 'evacuations.cache'];
  await waitUntil(() => files.every((name) => existsSync(join(directory, name))));
}

test('the configuration and the evacuations are read back after a restart', () =>
  withDirectory(async (directory) => {
    const path = join(directory, 'cache');
    assert.deepEqual(await openCache(path).read(), {
      configuration: undefined,
      evacuations: undefined,
    });
    await fill(path);
    const { configuration, evacuations } = await openCache(path).read();
    assert.equal(Buffer.from(configuration?.body ?? []).toString(), 'seven');
    assert.deepEqual(evacuations, EVACUATIONS);
  }));

test('without readable evacuations the configuration is not used, as it would serve all data centres', () =>
  withDirectory(async (directory) => {
    await fill(directory);
    const file = join(directory, 'evacuations.cache');
    const bytes = await readFile(file);
    await writeFile(file, bytes.subarray(0, bytes.byteLength - 1));
    assert.deepEqual(await openCache(directory).read(), {
      configuration: undefined,
      evacuations: undefined,
    });
  }));

test('a configuration cached by an earlier version, without evacuations, is used', () =>
  withDirectory(async (directory) => {
    await fill(directory);
    await rm(join(directory, 'evacuations.cache'));
    const { configuration, evacuations } = await openCache(directory).read();
    assert.equal(configuration?.version, 7);
    assert.equal(evacuations, undefined);
  }));

test('a write that failed is repeated, so that a restart does not use an older state', () =>
  withDirectory(async (directory) => {
    const path = join(directory, 'cache');
    await writeFile(path, 'a file in place of the directory');
    const timer = new VirtualTimer();
    const journal = createSilentJournal(timer);
    const cache = new StateCache(path, timer, journal);
    cache.writeEvacuations(EVACUATIONS);
    await waitUntil(() => journal.recent().some(({ name }) => name === 'cacheFailed'));
    await rm(path);
    await mkdir(path);
    await settle();
    timer.advance(1000);
    await waitUntil(() => existsSync(join(path, 'evacuations.cache')));
    assert.deepEqual((await openCache(path).read()).evacuations, EVACUATIONS);
  }));
