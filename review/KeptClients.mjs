/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { setTimeout as sleep } from 'node:timers/promises';
import { ClientConnection } from './ClientConnection.mjs';
import { HOST, PATHS } from './createConfiguration.mjs';

const DEADLINE_MS = 1500;

/** Pause of a client after a failure, in milliseconds. */
const BACKOFF_MS = 500;

/** Clients that each send one safe request after another on a connection that they keep. */
export class KeptClients {
  /** Requests with their outcome. */
  outcomes = [];

  #deployment;

  #record;

  #isStopped = false;

  #loops = [];

  #sent = 0;

  constructor({ deployment, record }) {
    this.#deployment = deployment;
    this.#record = record;
  }

  start(names, perMachine) {
    this.#loops = names.flatMap((name) =>
      Array.from({ length: perMachine }, () => this.#sendRequests(name)),
    );
  }

  async stop() {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  async #sendRequests(name) {
    let connection;
    while (!this.#isStopped) {
      if (!connection?.isOpen)
        connection = new ClientConnection(this.#deployment.address(name, 'frontend'));
      this.#sent += 1;
      const attempt = `attempt-${this.#sent}`;
      const isKept = connection.answered > 0;
      const { status, end } = await connection.send({
        method: 'GET',
        path: `${PATHS.safe}${attempt}`,
        host: HOST,
        headers: { 'Attempt-Id': attempt },
        deadlineMs: DEADLINE_MS,
      });
      this.outcomes.push({ attempt, name, isKept, status, end });
      if (status === 200) continue;
      this.#record.add(`client: ${attempt} at ${name}: ${status || 'no answer'}, ${end}`);
      await sleep(BACKOFF_MS);
    }
    connection?.close();
  }
}

/**
 * Records and returns the requests on kept connections that a sound engine ran and whose connection the
 * machine then closed without an answer.
 */
export function findUnanswered({ outcomes }, soundEngines, record) {
  const engineOf = new Map(
    soundEngines.flatMap(({ id, runs }) => runs.map(({ attempt }) => [attempt, id])),
  );
  const unanswered = outcomes.filter(
    ({ attempt, isKept, status, end }) =>
      isKept && status === 0 && end !== 'deadline' && engineOf.has(attempt),
  );
  for (const { attempt, name, end } of unanswered) {
    const engine = engineOf.get(attempt);
    record.add(`${attempt} ran at ${engine}; ${name} ended its kept connection (${end})`);
  }
  const answered = outcomes.filter(({ status }) => status === 200).length;
  record.add(`requests: ${outcomes.length} sent, ${answered} answered with 200`);
  return unanswered;
}
