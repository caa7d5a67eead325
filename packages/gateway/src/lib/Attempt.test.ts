import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { SystemTimer, asId } from '@berylwood/base';
import { Attempt, type ResponseHead, type AttemptEnd } from './Attempt';
import { Endpoint } from './Endpoint';
import { Wire, type ResponseMetadata } from './Wire';

const RESPONSE_METADATA: ResponseMetadata = {
  attempt: undefined,
  isNotRun: false,
  isMisdirected: false,
  load: undefined,
  keepAliveMs: undefined,
  closesConnection: true,
};

/** Wire format that ignores all headers. */
class PlainWire extends Wire {
  readonly paths = { readiness: '/ready', configuration: '/configuration' };

  override readRequest(): never {
    throw new Error('not used');
  }

  override endpointHeaders(): string[] {
    return [];
  }

  override readResponse(): ResponseMetadata {
    return RESPONSE_METADATA;
  }

  override responseHeaders(): string[] {
    return [];
  }

  override decodeConfiguration(): never {
    throw new Error('not used');
  }
}

/** Creates an endpoint that serves each connection by a function. */
async function createEndpoint(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const listed = {
    id: asId<'endpoint'>('e-1'),
    pool: asId<'pool'>('pool'),
    address: `127.0.0.1:${port}`,
    dataCentre: 'a',
    slots: 4,
    isDraining: false,
  };
  const endpoint = new Endpoint(listed, 4, new SystemTimer());
  return { endpoint, close: () => server.close() };
}

function send(endpoint: Endpoint): Promise<{ end: AttemptEnd; head?: ResponseHead; body: string }> {
  return new Promise((resolve) => {
    let head: ResponseHead | undefined;
    let body = '';
    const outgoing = {
      method: 'GET',
      target: '/',
      headers: ['Host', 'x'],
      body: Buffer.alloc(0),
      attempt: asId<'attempt'>('a-1'),
      promptTokens: 0,
      rank: 0,
    };
    const listener = {
      onHead: (given: ResponseHead) => {
        head = given;
      },
      onData: (chunk: Buffer) => {
        body += chunk.toString();
        return true;
      },
      onEnd: (end: AttemptEnd) => resolve({ end, head, body }),
    };
    const parts = { wire: new PlainWire(), timer: new SystemTimer() };
    // eslint-disable-next-line no-new -- the listener receives the result
    new Attempt(endpoint, outgoing, listener, parts);
  });
}

test('a response without a length is complete when the connection is closed normally', async () => {
  const { endpoint, close } = await createEndpoint((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
  });
  const { end, body } = await send(endpoint);
  assert.deepEqual(end, { type: 'complete' });
  assert.equal(body, 'whole');
  close();
});

test('a response without a length is broken when the connection is reset', async () => {
  const { endpoint, close } = await createEndpoint((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  const { end } = await send(endpoint);
  assert.equal(end.type, 'broken');
  close();
});

test('an attempt with a refused connection ends as unsent and ejects the endpoint', async () => {
  const { endpoint, close } = await createEndpoint(() => {});
  close();
  const { end } = await send(endpoint);
  assert.equal(end.type, 'unsent');
  assert.equal(endpoint.isUsable, false);
});

test('an attempt whose connection breaks after the request was sent ends as broken', async () => {
  const { endpoint, close } = await createEndpoint((socket) => socket.destroy());
  const { end } = await send(endpoint);
  assert.equal(end.type, 'broken');
  close();
});
