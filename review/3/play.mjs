/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { setTimeout as sleep } from 'node:timers/promises';
import { KeptClients, findUnanswered } from '../KeptClients.mjs';
import { CORE, runCase } from '../runCase.mjs';

const CLIENTS_PER_MACHINE = 8;

/** Time that an engine takes for a request, in milliseconds. */
const WORK_MS = 150;

const CALM_MS = 4000;
const TROUBLE_MS = 12_000;

/** The faulty engine spoils one in 50 of its answers: `x` of 0.02. */
const SPOILED_EVERY = 50;

/** Unanswered requests that the rule allows. */
const ALLOWED = 3;

const FAULTY = 'i-1';
let isFaulty = false;
let answers = 0;

/** Sends an answer in which one byte of a header's name is wrong. */
function sendSpoiled(engine, request, response) {
  const lines = Object.entries(engine.headersOf(request)).map(([name, value]) =>
    name === 'Engine-Signature' ? `Engine Signature: ${value}` : `${name}: ${value}`,
  );
  const head = ['HTTP/1.1 200 OK', ...lines, 'Content-Length: 5'];
  response.socket.write(`${head.join('\r\n')}\r\n\r\nfound`);
}

runCase(import.meta.dirname, {
  engines: 3,
  answer: async ({ engine, request, response }) => {
    await sleep(WORK_MS);
    if (response.destroyed) return;
    if (engine.id === FAULTY) answers += 1;
    const isSpoiled = isFaulty && engine.id === FAULTY && answers % SPOILED_EVERY === 0;
    if (isSpoiled) sendSpoiled(engine, request, response);
    else response.writeHead(200, engine.headersOf(request)).end('found');
  },
  play: async (parts) => {
    const { platform, deployment, record, hasTrouble } = parts;
    const clients = new KeptClients(parts);
    clients.start(CORE, CLIENTS_PER_MACHINE);
    await sleep(CALM_MS);
    isFaulty = hasTrouble;
    if (hasTrouble) record.add(`engine ${FAULTY} spoils one in ${SPOILED_EVERY} answers`);
    await sleep(TROUBLE_MS);
    await clients.stop();
    const sound = platform.engines.filter(({ id }) => id !== FAULTY);
    const unanswered = findUnanswered(clients, sound, record);
    record.add(`processes that ended by themselves: ${deployment.ownEnds.length}`);
    if (unanswered.length <= ALLOWED) return undefined;
    return `${unanswered.length} requests of kept connections ran at sound engines and were not answered`;
  },
});
