/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendOnce } from './ClientConnection.mjs';

/** Time that an operator waits for an answer, in milliseconds. */
const CALL_MS = 1000;

const RETRY_MS = 200;
const PATH = '/-/config';

/** An operator, who sends an order again until it is acknowledged. */
export class Operator {
  #deployment;

  #record;

  constructor(deployment, record) {
    this.#deployment = deployment;
    this.#record = record;
  }

  async read(name) {
    const address = this.#deployment.address(name, 'controlPlane');
    const call = { method: 'GET', path: PATH, host: 'operator', deadlineMs: CALL_MS };
    const { status, body } = await sendOnce(address, call);
    const version = status === 200 ? JSON.parse(body).version : undefined;
    this.#record.add(`operator: GET at ${name}: ${status}${version ? `, version ${version}` : ''}`);
    return version;
  }

  /** Resolves to whether a machine has acknowledged a configuration within the time. */
  async configure(name, document, limitMs = 15_000) {
    const address = this.#deployment.address(name, 'controlPlane');
    const { version } = JSON.parse(document);
    const endsAt = performance.now() + limitMs;
    while (performance.now() < endsAt) {
      const call = { method: 'PUT', path: PATH, host: 'operator', deadlineMs: CALL_MS };
      const { status } = await sendOnce(address, { ...call, body: document });
      if (status === 200) {
        this.#record.add(`operator: PUT of version ${version} acknowledged by ${name}`);
        return true;
      }
      await sleep(RETRY_MS);
    }
    this.#record.add(`operator: PUT of version ${version} at ${name}: no acknowledgement`);
    return false;
  }
}
