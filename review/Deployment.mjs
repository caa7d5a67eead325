/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { spawn } from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  mkdirSync,
  openSync,
  closeSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendOnce } from './ClientConnection.mjs';
import { renderTemplate } from './renderTemplate.mjs';

const ROOT = join(import.meta.dirname, '..');

/** Bounds of the site that the cases name. */
const BOUNDS = {
  usageWindowS: 5,
  graceS: 8,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 60,
  leaseMs: 3000,
};

const PLATFORM_CALLS_PER_S = 42;
const SEED_COUNT = 3;

/** Delay after which the platform starts a process again that has ended, in milliseconds. */
const RESTART_DELAY_MS = 500;

async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.listen(0, '127.0.0.1', resolve);
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** The command of the only role in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/**
 * Runs the project's gateways as separate processes by the command and the settings template of the deploy
 * file, each on its own loopback address.
 */
export class Deployment {
  machines = new Map();

  #platform;

  #directory = mkdtempSync(join(tmpdir(), 'berylwood-review-'));

  #ports;

  #isClosed = false;

  #template = readFileSync(join(ROOT, 'deploy/gateway.toml.template'), 'utf8');

  #record;

  constructor(record) {
    this.#record = record;
  }

  /** @param platform - address of the platform */
  async open(platform) {
    this.#platform = platform;
    const [frontend, readiness, controlPlane, mesh, admin] = await findFreePorts(5);
    this.#ports = { frontend, readiness, controlPlane, internal: [mesh, admin] };
  }

  /** Adds a machine; `ip` is a loopback address of its own. */
  addMachine({ name, ip }) {
    const data = join(this.#directory, name, 'data');
    mkdirSync(data, { recursive: true });
    this.machines.set(name, { name, ip, data, starts: 0 });
  }

  address(name, kind) {
    return `${this.machines.get(name).ip}:${this.#ports[kind]}`;
  }

  start(name, { bootstrap = false } = {}) {
    const machine = this.machines.get(name);
    const folder = join(this.#directory, name);
    const file = join(folder, 'settings.toml');
    writeFileSync(file, renderTemplate(this.#template, this.#fieldsOf(machine, bootstrap)));
    machine.starts += 1;
    machine.isSignalled = false;
    const log = openSync(join(folder, `log-${machine.starts}`), 'w');
    const [command, ...words] = readCommand();
    const child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BERYLWOOD_CONFIG: file },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#record.add(`${name} starts`);
    machine.child = child;
    machine.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.#record.add(`${name} ends, ${signal ? `by ${signal}` : `with exit code ${code}`}`);
        resolve();
        if (!machine.isSignalled) this.#restart(machine);
      });
    });
  }

  signal(name, signal) {
    this.#record.add(`${signal} to ${name}`);
    const machine = this.machines.get(name);
    machine.isSignalled = true;
    machine.child.kill(signal);
  }

  isRunning(name) {
    const { child } = this.machines.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Empties the disk of a machine that does not run. */
  loseDisk(name) {
    const { data } = this.machines.get(name);
    rmSync(data, { recursive: true, force: true });
    mkdirSync(data);
    this.#record.add(`${name} has lost its disk`);
  }

  /** Names of the machines whose process ended by itself, in order. */
  ownEnds = [];

  /** Ends all processes and removes their files. */
  async close() {
    this.#isClosed = true;
    for (const { name, exited } of this.machines.values()) {
      if (!this.isRunning(name)) continue;
      this.signal(name, 'SIGKILL');
      await exited;
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Resolves once a machine reports that it is ready; false if it does not within the time. */
  async waitUntilReady(name, limitMs = 20_000) {
    const endsAt = performance.now() + limitMs;
    while (performance.now() < endsAt) {
      const probe = { method: 'GET', path: '/-/readyz', host: 'platform', deadlineMs: 1000 };
      const { status } = await sendOnce(this.address(name, 'readiness'), probe);
      if (status === 200) return true;
      await sleep(50);
    }
    return false;
  }

  /** Starts a process again that has ended by itself, as the platform does. */
  #restart({ name, starts }) {
    const log = readFileSync(join(this.#directory, name, `log-${starts}`), 'utf8');
    this.#record.add(`${name} ended by itself: ${/^\w*Error.*$/m.exec(log)?.[0] ?? 'no error'}`);
    this.ownEnds.push(name);
    setTimeout(() => {
      if (!this.#isClosed) this.start(name);
    }, RESTART_DELAY_MS);
  }

  #fieldsOf({ name, ip, data }, bootstrap) {
    const { frontend, readiness, controlPlane, internal } = this.#ports;
    // The first three machines are the seeds of all.
    const seeds = [...this.machines.values()].slice(0, SEED_COUNT).map((machine) => machine.ip);
    return {
      nodeName: name,
      ip,
      zone: 'zone-a',
      listen: {
        frontend: `${ip}:${frontend}`,
        readiness: `${ip}:${readiness}`,
        controlPlane: `${ip}:${controlPlane}`,
      },
      internalPorts: internal,
      seeds: seeds.map((seed) => `${seed}:${controlPlane}`),
      bootstrap,
      dataDir: data,
      faultTolerance: { machines: 1 },
      bounds: BOUNDS,
      cloud: { address: this.#platform, ratePerS: PLATFORM_CALLS_PER_S },
    };
  }
}
