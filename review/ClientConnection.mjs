/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { readAnswer } from './readAnswer.mjs';

const NO_BYTES = Buffer.alloc(0);

/** A client's connection to one machine; it carries one request after another. */
export class ClientConnection {
  /** Number of requests that were answered on this connection. */
  answered = 0;

  isOpen = true;

  #socket;

  #bytes = NO_BYTES;

  /** Called with `data`, `closed` or `reset`. */
  #onEvent = () => {};

  constructor(address) {
    const [host, port] = address.split(':');
    this.#socket = connect({ host, port: Number(port), noDelay: true });
    this.#socket.on('data', (chunk) => {
      this.#bytes = Buffer.concat([this.#bytes, chunk]);
      this.#onEvent('data');
    });
    this.#socket.on('end', () => this.#end('closed'));
    this.#socket.on('error', () => this.#end('reset'));
  }

  /**
   * Sends a request and resolves to its answer, once it is whole or cannot become so. `end` is `whole`, or
   * tells why the client stopped reading: `closed` or `reset` by the machine, or its own `deadline`.
   */
  send({ method = 'POST', path, host, headers = {}, body = '', deadlineMs }) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Deadline-Ms: ${deadlineMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ];
    this.#bytes = NO_BYTES;
    return new Promise((resolve) => {
      let timeout;
      const finish = (end, answer) => {
        clearTimeout(timeout);
        this.#onEvent = () => {};
        if (end !== 'whole' || /close/i.test(answer.headers.connection ?? '')) this.close();
        else this.answered += 1;
        resolve({ ...answer, end });
      };
      const read = (event) => {
        const answer = readAnswer(this.#bytes, { isClosed: event === 'closed' });
        if (answer.isWhole) finish('whole', answer);
        else if (event !== 'data') finish(event, answer);
      };
      timeout = setTimeout(() => read('deadline'), deadlineMs);
      this.#onEvent = read;
      this.#socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    });
  }

  close() {
    this.isOpen = false;
    this.#socket.destroy();
  }

  #end(event) {
    this.isOpen = false;
    this.#onEvent(event);
  }
}

/** Sends one request on a connection of its own. */
export async function sendOnce(address, request) {
  const connection = new ClientConnection(address);
  const answer = await connection.send(request);
  connection.close();
  return answer;
}
