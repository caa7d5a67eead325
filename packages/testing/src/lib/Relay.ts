import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { listenOn, resetSocket, splitAddress } from '@berylwood/link';

/** What a relay does with connections and bytes. @public */
export type RelayMode =
  /** Passes everything. */
  | 'pass'
  /** Passes no bytes but keeps connections open; what arrives waits until healed. */
  | 'silent'
  /** Resets open connections and refuses new ones. */
  | 'refuse';

/** Bytes that may wait on one side of a pair before its reader is paused. */
const HIGH_WATER_BYTES = 64 * 1024;

/** Bytes that a relay with a limited rate passes at once. */
const MAX_PART_BYTES = 4 * 1024;

/** Time for delayed bytes to be written before their connection is closed, in milliseconds. */
const LAST_BYTES_MS = 20;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Time until which delayed bytes are on their way, in milliseconds. */
  dueAt: number;
}

/** A TCP relay between two processes with switchable faults. @public */
export class Relay {
  readonly #target: string;

  readonly #server: Server;

  readonly #pairs = new Set<Pair>();

  /** Sockets of either side that are still open, also those whose other side has gone. */
  readonly #sockets = new Set<Socket>();

  #mode: RelayMode = 'pass';

  #delayMs = 0;

  #bytesPerS = Infinity;

  #silencesAfterReply = false;

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  get mode(): RelayMode {
    return this.#mode;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Switches the fault; `pass` heals, and lets go what was held. */
  set(mode: RelayMode): void {
    this.#mode = mode;
    this.#silencesAfterReply = false;
    if (mode === 'refuse') this.reset();
    if (mode === 'pass') for (const { near, far } of this.#pairs) resume(near, far);
    if (mode === 'silent') for (const { near, far } of this.#pairs) pause(near, far);
  }

  /** Falls silent right after the next bytes of a target, so that what answers them is held. */
  silenceAfterReply(): void {
    this.#silencesAfterReply = true;
  }

  /** Delays each chunk of bytes. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Limits the bytes that a new connection passes in each direction, as a slow network link does. */
  limitRate(bytesPerS: number): void {
    this.#bytesPerS = bytesPerS;
  }

  /** Connections that pass bytes. */
  get openCount(): number {
    return this.#pairs.size;
  }

  /** Sockets of both sides that are not closed. */
  get socketCount(): number {
    return this.#sockets.size;
  }

  /**
   * Lets the open connections fall silent for good, without a sign to either end, while new ones
   * work: as when something in between has lost track of them.
   */
  forget(): void {
    for (const pair of this.#pairs) {
      for (const socket of [pair.near, pair.far]) socket.removeAllListeners('data').pause();
    }
    this.#pairs.clear();
  }

  /** Resets all open connections, in whatever frame they are. */
  reset(): void {
    this.#pairs.forEach(reset);
  }

  async close(): Promise<void> {
    this.#mode = 'refuse';
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  #accept(near: Socket): void {
    if (this.#mode === 'refuse') {
      resetSocket(near);
      return;
    }
    const { host, port } = splitAddress(this.#target);
    const far = connect(port, host);
    const pair: Pair = { near, far, dueAt: 0 };
    this.#pairs.add(pair);
    this.#join(near, far, pair);
    this.#join(far, near, pair);
    far.on('data', () => this.#silence());
    for (const socket of [near, far]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.once('close', (hadError) => {
        this.#sockets.delete(socket);
        const passes = this.#pairs.delete(pair);
        // A cut network tells neither side that the other is gone.
        if (!passes || this.#mode === 'silent') return;
        const leftMs = pair.dueAt - performance.now();
        if (hadError) reset(pair);
        else if (leftMs > 0) setTimeout(() => this.#drop(pair), leftMs + LAST_BYTES_MS);
        else this.#drop(pair);
      });
    }
    if (this.#mode === 'silent') pause(near, far);
  }

  #silence(): void {
    if (this.#silencesAfterReply) this.set('silent');
  }

  #drop({ near, far }: Pair): void {
    near.destroy();
    far.destroy();
  }

  #join(from: Socket, to: Socket, pair: Pair): void {
    // Bytes never overtake each other, also when the delay ends while some are on their way: each
    // timer lets the oldest go.
    const waiting: (() => void)[] = [];
    let dueAt = 0;
    const pass = (deliver: () => void): void => {
      if (this.#delayMs === 0 && waiting.length === 0) {
        deliver();
        return;
      }
      const now = performance.now();
      dueAt = Math.max(now + this.#delayMs, dueAt);
      pair.dueAt = Math.max(pair.dueAt, dueAt);
      waiting.push(deliver);
      setTimeout(() => waiting.shift()?.(), dueAt - now);
    };
    if (this.#bytesPerS < Infinity) passSlowly(from, to, this.#bytesPerS);
    else {
      from.on('data', (chunk) => pass(() => write(from, to, chunk)));
      to.on('drain', () => {
        if (this.#mode !== 'silent') from.resume();
      });
    }
    from.on('end', () => {
      // A reset that arrives together with data is reported as an orderly end, but leaves no peer.
      if (!from.destroyed && from.remoteAddress === undefined) reset(pair);
      else pass(() => to.end());
    });
  }
}

/** Passes bytes at a limited rate; the kernel of the sender holds what waits. */
function passSlowly(from: Socket, to: Socket, bytesPerS: number): void {
  let freeAt = 0;
  from.on('data', (chunk: Buffer) => {
    from.pause();
    freeAt = Math.max(performance.now(), freeAt);
    const passFrom = (at: number): void => {
      if (at >= chunk.length) {
        from.resume();
        return;
      }
      const part = chunk.subarray(at, at + MAX_PART_BYTES);
      if (!to.destroyed) to.write(part);
      freeAt += (part.length / bytesPerS) * 1000;
      setTimeout(() => passFrom(at + part.length), freeAt - performance.now());
    };
    passFrom(0);
  });
}

function write(from: Socket, to: Socket, chunk: Buffer): void {
  if (to.destroyed) return;
  if (!to.write(chunk) && to.writableLength > HIGH_WATER_BYTES) from.pause();
}

/** Passes the reset of one side on to the other. */
function reset({ near, far }: Pair): void {
  resetSocket(near);
  resetSocket(far);
}

function pause(...sockets: Socket[]): void {
  for (const socket of sockets) socket.pause();
}

function resume(...sockets: Socket[]): void {
  for (const socket of sockets) socket.resume();
}
