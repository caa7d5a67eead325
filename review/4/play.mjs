/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { setTimeout as sleep } from 'node:timers/promises';
import { sendOnce } from '../ClientConnection.mjs';
import { HOST, PATHS } from '../createConfiguration.mjs';
import { CORE, runCase } from '../runCase.mjs';

const CLIENTS = 120;
const DEADLINE_MS = 3000;

const EVENTS = 12;
const EVENT_GAP_MS = 100;

/** Engines that send one in 20 answers without a length: a share of 0.5, `x` of 0.05. */
const UNFRAMED_ENGINES = ['i-1', 'i-2'];
const UNFRAMED_EVERY = 20;

/** One of four engines crashes: a share of 0.25 for 2 seconds. */
const CRASHES = 5;
const DOWN_MS = 2000;
const BETWEEN_MS = 3000;

const eventOf = (id) => `id: ${id}\ndata: event ${id}\n\n`;

/** Streams all events; without a length, the end of the connection ends the answer. */
async function stream({ engine, request, response }) {
  const { socket } = response;
  const isUnframed =
    UNFRAMED_ENGINES.includes(engine.id) && engine.runs.length % UNFRAMED_EVERY === 0;
  const headers = { ...engine.headersOf(request), 'Content-Type': 'text/event-stream' };
  if (isUnframed) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    socket.write(`${['HTTP/1.1 200 OK', ...lines, 'Connection: close'].join('\r\n')}\r\n\r\n`);
  } else response.writeHead(200, headers);
  for (let id = 1; id <= EVENTS && !socket.destroyed; id += 1) {
    await sleep(EVENT_GAP_MS);
    if (isUnframed) socket.write(eventOf(id));
    else response.write(eventOf(id));
  }
  if (isUnframed) socket.end();
  else response.end();
}

/** Delay of each client after the one before, so that streams begin at different times, in milliseconds. */
const STAGGER_MS = 10;

/** One client that asks for one stream after another until the case ends. */
async function readStreams({ deployment, record }, number, state) {
  const name = CORE[number % CORE.length];
  await sleep(number * STAGGER_MS);
  while (!state.isOver) {
    state.sent += 1;
    const attempt = `attempt-${state.sent}`;
    const { status, headers, body, end } = await sendOnce(deployment.address(name, 'frontend'), {
      path: `${PATHS.stream}${attempt}`,
      host: HOST,
      headers: { 'Attempt-Id': attempt },
      body: 'prompt',
      deadlineMs: DEADLINE_MS,
    });
    const events = body.split('\n\n').length - 1;
    const isShort = status === 200 && events < EVENTS;
    const framing = headers['transfer-encoding'] ?? 'no length';
    if (isShort || status !== 200)
      record.add(`client: ${attempt} at ${name}: ${status}, ${framing}, ${events} events, ${end}`);
    if (isShort && end === 'whole') state.truncated.push(attempt);
    if (status !== 200) await sleep(EVENT_GAP_MS);
  }
}

runCase(import.meta.dirname, {
  engines: 4,
  answer: stream,
  play: async (parts) => {
    const { platform, record, hasTrouble } = parts;
    const state = { sent: 0, truncated: [], isOver: false };
    const clients = Array.from({ length: CLIENTS }, (_, number) =>
      readStreams(parts, number, state),
    );
    const [engine] = platform.engines;
    for (let crash = 1; crash <= CRASHES; crash += 1) {
      await sleep(BETWEEN_MS);
      if (hasTrouble) record.add(`${engine.id} crashes`);
      await (hasTrouble ? engine.crash(DOWN_MS) : sleep(DOWN_MS));
    }
    state.isOver = true;
    await Promise.all(clients);
    record.add(`streams: ${state.sent}`);
    if (state.truncated.length === 0) return undefined;
    return `${state.truncated.length} streams that were reset look complete: ${state.truncated}`;
  },
});
