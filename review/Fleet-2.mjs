/* eslint-disable import-x/extensions -- Node.js resolves modules by their full file names. */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { renderSettings } from './renderSettings-2.mjs';

/** Bounds of the small deployments of the users' pages. */
const BOUNDS = {
  usageWindowS: 5,
  graceS: 8,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 60,
  leaseMs: 3000,
};

const ROLES = ['frontend', 'readiness', 'controlPlane', 'mesh', 'metrics'];

/** Nodes with a disk, which are the seeds; the others have none. */
const DISKS = 3;

/** Largest third and second part of a loopback address that a run may use. */
const SUBNETS = 250;

function runCommand() {
  const [, words] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  return words.split(' ');
}

async function findFreePort(ip) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Gateways as separate processes, started with the command of the deploy file. */
export class Fleet {
  directory = mkdtempSync(join(tmpdir(), 'berylwood-review-'));

  nodes = [];

  #ports = {};

  #platform;

  #record;

  constructor({ count, platform, record }) {
    this.#platform = platform;
    this.#record = record;
    const second = 1 + (process.pid % SUBNETS);
    const third = 1 + (Math.floor(process.pid / SUBNETS) % SUBNETS);
    for (let number = 1; number <= count; number += 1) {
      const ip = `127.${second}.${third}.${number}`;
      const hasDisk = number <= DISKS;
      const name = `edge-${number}`;
      this.nodes.push({ name, ip, hasDisk, child: undefined, hasExited: true });
    }
  }

  async start() {
    for (const role of ROLES) this.#ports[role] = await findFreePort(this.nodes[0].ip);
    for (const node of this.nodes) this.startNode(node, true);
  }

  /** Adds a machine with an empty disk; its settings name the given nodes as seeds. */
  addNode(seeds) {
    const number = this.nodes.length + 1;
    const ip = this.nodes[0].ip.replace(/\d+$/, String(number));
    const node = { name: `edge-${number}`, ip, hasDisk: true, seeds, hasExited: true };
    this.nodes.push(node);
    this.startNode(node);
    return node;
  }

  /** Starts the process of a node on its disk; only the very first start bootstraps the system. */
  startNode(node, bootstrap = false) {
    const folder = join(this.directory, node.name);
    const data = join(folder, 'data');
    mkdirSync(data, { recursive: true });
    const settings = join(folder, 'node.toml');
    writeFileSync(settings, renderSettings(this.#fieldsOf(node, data, bootstrap)));
    const [program, ...args] = runCommand();
    const logFile = join(folder, 'log.jsonl');
    const log = openSync(logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, ...(LANG && { LANG }), BERYLWOOD_CONFIG: settings };
    const child = spawn(program, args, { env, stdio: ['ignore', log, log] });
    Object.assign(node, { child, hasExited: false });
    child.once('exit', (code, signal) => {
      if (node.child === child) node.hasExited = true;
      this.#record.add(`${node.name} ended: code ${code}, signal ${signal}`);
      const [fault] = /^FATAL ERROR.*$/m.exec(readFileSync(logFile, 'utf8')) ?? [];
      if (fault) this.#record.add(`${node.name} wrote: ${fault}`);
    });
  }

  /** Sends a signal to the process of a node. */
  signal(node, signal) {
    this.#record.add(`${signal} to ${node.name}`);
    node.child.kill(signal);
  }

  /** Where a role of a node is reached. */
  addressOf(node, role) {
    return { host: node.ip, port: this.#ports[role] };
  }

  /** Waits until a node says that it is ready. */
  async waitUntilReady(node, timeoutMs = 20_000) {
    const { host, port } = this.addressOf(node, 'readiness');
    const endsAt = Date.now() + timeoutMs;
    while (Date.now() < endsAt) {
      const response = await globalThis
        .fetch(`http://${host}:${port}/-/readyz`)
        .catch(() => undefined);
      await response?.text();
      if (response?.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${node.name} is not ready after ${timeoutMs} ms`);
  }

  /** Sends a configuration to the nodes in turn until one acknowledges it, as operators do. */
  async configure(document, timeoutMs = 20_000) {
    const body = JSON.stringify(document);
    const endsAt = Date.now() + timeoutMs;
    for (let turn = 0; Date.now() < endsAt; turn += 1) {
      const { host, port } = this.addressOf(this.nodes[turn % this.nodes.length], 'controlPlane');
      const signal = globalThis.AbortSignal.timeout(1000);
      const options = { method: 'PUT', body, signal };
      const response = await globalThis
        .fetch(`http://${host}:${port}/-/config`, options)
        .catch(() => {});
      await response?.text().catch(() => {});
      if (response?.status === 200) {
        this.#record.add(`configuration ${document.version} acknowledged`);
        return;
      }
      await sleep(200);
    }
    throw new Error('no node has acknowledged the configuration');
  }

  /** Ends all processes that this fleet has started, and removes their files. */
  async close() {
    for (const { child, hasExited } of this.nodes) if (child && !hasExited) child.kill('SIGKILL');
    while (this.nodes.some(({ hasExited }) => !hasExited)) await sleep(20);
    if (process.env.KEEP_LOGS !== '1') rmSync(this.directory, { recursive: true, force: true });
  }

  #fieldsOf({ name, ip, hasDisk, seeds }, dataDir, bootstrap) {
    const at = (role, host = ip) => `${host}:${this.#ports[role]}`;
    return {
      nodeName: name,
      ip,
      zone: 'zone-a',
      listen: {
        frontend: at('frontend'),
        readiness: at('readiness'),
        controlPlane: at('controlPlane'),
      },
      internalPorts: [this.#ports.mesh, this.#ports.metrics],
      seeds: (seeds ?? this.nodes.slice(0, DISKS)).map((node) => at('controlPlane', node.ip)),
      bootstrap,
      dataDir: hasDisk ? dataDir : undefined,
      faultTolerance: { machines: 1 },
      bounds: BOUNDS,
      cloud: { address: this.#platform.address, ratePerS: 42 },
    };
  }
}
