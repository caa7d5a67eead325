/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { Buffer } from 'node:buffer';
import { setTimeout as sleep } from 'node:timers/promises';
import { KeptClients, findUnanswered } from '../KeptClients.mjs';
import { CORE, runCase } from '../runCase.mjs';

const CLIENTS_PER_MACHINE = 6;

/** Time that an engine takes for a request, in milliseconds. */
const WORK_MS = 150;

const CALM_MS = 4000;
const TROUBLE_MS = 12_000;

/** Unanswered requests that the rule allows. */
const ALLOWED = 3;

/** An entry of the platform's list whose id holds bytes that are not UTF-8. */
const UNREADABLE_ENTRY = Buffer.from(
  '{"service":"engines","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":64,' +
    '"state":"ready","coldRemainingMs":0,"id":"i-\xc3\x28\xff"}',
  'latin1',
);

runCase(import.meta.dirname, {
  engines: 3,
  answer: async ({ engine, request, response }) => {
    await sleep(WORK_MS);
    response.writeHead(200, engine.headersOf(request)).end('found');
  },
  play: async (parts) => {
    const { platform, deployment, record, hasTrouble } = parts;
    const clients = new KeptClients(parts);
    clients.start(CORE, CLIENTS_PER_MACHINE);
    await sleep(CALM_MS);
    if (hasTrouble) {
      platform.addEntry(UNREADABLE_ENTRY);
      record.add('the list of engines gains an entry that cannot be read');
    }
    await sleep(TROUBLE_MS);
    await clients.stop();
    const unanswered = findUnanswered(clients, platform.engines, record);
    record.add(`processes that ended by themselves: ${deployment.ownEnds.length}`);
    if (unanswered.length <= ALLOWED) return undefined;
    return `${unanswered.length} requests of kept connections ran and were not answered`;
  },
});
