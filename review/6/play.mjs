/* eslint-disable import-x/extensions -- Node.js resolves modules by their full file names. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createConfiguration } from '../createConfiguration-2.mjs';
import { EngineStandIn } from '../EngineStandIn-2.mjs';
import { Fleet } from '../Fleet-2.mjs';
import { runCase } from '../runCase-2.mjs';

/** Deployments that are played one after the other until one breaks the rule. */
const ROUNDS = 3;

const SETTLE_MS = 3000;

/** Time for which a new machine counts as lost after its start, in milliseconds (`catchUpS`). */
const CATCH_UP_MS = 4000;

/** Time from the loss of a machine to the start of its successor, in milliseconds. */
const SUCCESSOR_MS = 200;

/** Time from that loss to the planned stop, in milliseconds. */
const STOP_MS = 800;

/** Margin by which a loss is later than the pages allow, in milliseconds. */
const MARGIN_MS = 100;

/** Time for which the operator tries to read the configuration; `recoverS` is 12 s. */
const READ_MS = 20_000;

const routes = [{ name: 'job-lookup', pathPrefix: '/lookup/', service: 'dispatch-api' }];
const services = [{ name: 'dispatch-api' }];
const configurationOf = (version) => createConfiguration({ version, routes, services });

const FIRST_VERSION = 1;
const NEWEST_VERSION = 7;

/** The node that reports the usage. */
async function findHolder({ fleet, platform }) {
  const endsAt = performance.now() + 20_000;
  while (platform.holder === '' && performance.now() < endsAt) await sleep(50);
  return fleet.nodes.find(({ name }) => name === platform.holder);
}

/** The node that joined first, by the log of another one: its leader hands over to that node first. */
function findFirstJoined({ fleet }, leader) {
  const log = readFileSync(join(fleet.directory, leader.name, 'log.jsonl'), 'utf8');
  const joined = log.split('\n').find((line) => line.includes('joinRequested')) ?? '';
  const others = fleet.nodes.filter((node) => node !== leader);
  return others.find(({ ip }) => joined.includes(`"${ip}:`)) ?? others[0];
}

/** Asks nodes for the configuration until one answers; resolves to its version. */
async function readConfiguration({ fleet, record }, nodes) {
  const endsAt = performance.now() + READ_MS;
  for (let turn = 0; performance.now() < endsAt; turn += 1) {
    const node = nodes[turn % nodes.length];
    const { host, port } = fleet.addressOf(node, 'controlPlane');
    const signal = globalThis.AbortSignal.timeout(1000);
    const url = `http://${host}:${port}/-/config`;
    const response = await globalThis.fetch(url, { signal }).catch(() => undefined);
    const text = await response?.text().catch(() => '');
    if (response?.status === 200) {
      const { version } = JSON.parse(text);
      record.add(`configuration ${version} is read back from ${node.name}`);
      return version;
    }
    await sleep(200);
  }
  record.add(`no node has answered a read of the configuration for ${READ_MS} ms`);
  return undefined;
}

/**
 * Replaces one machine as planned and, in trouble, loses the other two, one at a time. Resolves to the machines that
 * are there in the end.
 */
async function replaceMachines(parts) {
  const { fleet, record, hasTrouble } = parts;
  const lose = (node) => hasTrouble && fleet.signal(node, 'SIGKILL');
  const succeed = (node, seeds) => {
    if (!hasTrouble) return node;
    const successor = fleet.addNode(seeds);
    record.add(`${successor.name} starts, the successor of ${node.name}, which is gone for good`);
    return successor;
  };
  const leader = await findHolder(parts);
  const lost = findFirstJoined(parts, leader);
  const other = fleet.nodes.find((node) => node !== leader && node !== lost);
  record.add(`${leader.name} reports the usage; ${lost.name} and ${other.name} are the others`);
  const planned = fleet.addNode([leader, lost, other]);
  record.add(`${planned.name} starts, the successor of ${leader.name} in a planned replacement`);
  await sleep(CATCH_UP_MS + MARGIN_MS);
  lose(lost);
  await sleep(SUCCESSOR_MS);
  const successor = succeed(lost, [leader, other, planned]);
  await sleep(STOP_MS - SUCCESSOR_MS);
  fleet.signal(leader, 'SIGTERM');
  await sleep(CATCH_UP_MS + MARGIN_MS - (STOP_MS - SUCCESSOR_MS));
  lose(other);
  await sleep(SUCCESSOR_MS);
  const last = succeed(other, [other, planned, successor]);
  return [planned, successor, last];
}

/** Resolves to whether the acknowledged configuration can't be read back. */
async function playRound(parts) {
  await parts.fleet.configure(configurationOf(NEWEST_VERSION));
  const nodes = await replaceMachines(parts);
  return (await readConfiguration(parts, nodes)) !== NEWEST_VERSION;
}

async function play({ fleet: first, platform, record, hasTrouble }) {
  if (await playRound({ fleet: first, platform, record, hasTrouble })) return true;
  await first.close();
  for (let round = 2; round <= ROUNDS && hasTrouble; round += 1) {
    record.add(`deployment ${round}`);
    platform.forgetDuties();
    const fleet = new Fleet({ count: 3, platform, record });
    try {
      await fleet.start();
      await fleet.configure(configurationOf(FIRST_VERSION));
      await sleep(SETTLE_MS);
      if (await playRound({ fleet, platform, record, hasTrouble })) return true;
    } finally {
      await fleet.close();
    }
  }
  return false;
}

const engines = [
  new EngineStandIn({
    id: 'i-1',
    service: 'dispatch-api',
    answer: ({ response }) => response.end('ok'),
  }),
];

await runCase(import.meta.url, {
  nodes: 3,
  engines,
  configuration: configurationOf(FIRST_VERSION),
  play,
});
