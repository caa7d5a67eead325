import { execFile } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { ChildProcess } from './ChildProcess';
import { closeProcesses } from './closeProcesses';
import type { EndpointHistories } from './checks/Run';
import { PORTS, type DeploymentPlan } from './DeploymentPlan';
import type { HistoryRecord } from './History';
import { Relay } from './Relay';
import { SettingsWriter } from './SettingsWriter';
import { until } from './until';

const BINARY = resolve('build/berylwood');

const execute = promisify(execFile);

let count = 0;

/** A loopback address of its own for each deployment, so that ports never clash. */
function nextHost(): string {
  count += 1;
  const number = process.pid * 8 + count;
  const high = Math.floor(number / 250) % 250;
  return `127.${1 + (Math.floor(number / 62_500) % 250)}.${high}.${1 + (number % 250)}`;
}

/** A deployment of real processes from the built binary, with stand-ins, on one loopback address. @public */
export class Deployment {
  readonly processes = new Map<string, ChildProcess>();

  /** Relays by `from>to`, when the plan has them. */
  readonly relays = new Map<string, Relay>();

  readonly host = nextHost();

  readonly folder = mkdtempSync(join(tmpdir(), 'berylwood-'));

  readonly #plan: DeploymentPlan;

  readonly #starts: Promise<void>[] = [];

  constructor(plan: DeploymentPlan) {
    this.#plan = plan;
  }

  /** Starts all processes and waits until every entry is ready. */
  async start(): Promise<void> {
    const { plans, customers, endpoints } = this.#plan;
    if (!existsSync(BINARY)) throw new Error('build the binary first: npm run build');
    writeFileSync(join(this.folder, 'plans.toml'), plans);
    writeFileSync(join(this.folder, 'customers.toml'), customers);
    const writer = new SettingsWriter(this.#plan, this.host, this.folder, (from, to, address) =>
      this.#route(from, to, address),
    );
    const { sheets } = writer;
    await Promise.all(this.#starts);
    for (const { name, text } of sheets) this.#launch(name, text);
    await until('all entries are ready', () => this.#areEntriesReady(), 30_000);
    const expected = endpoints.length;
    await until('all endpoints are known', async () => {
      const { members } = JSON.parse(await this.operate('status', '--json')) as { members: [] };
      return members.length === expected;
    });
  }

  /**
   * Ends all processes and removes the folder.
   * @throws if a process has written anything but log lines.
   */
  async close(): Promise<void> {
    try {
      await closeProcesses(this.processes.values());
    } finally {
      await Promise.all([...this.relays.values()].map((relay) => relay.close()));
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  process(name: string): ChildProcess {
    const child = this.processes.get(name);
    if (!child)
      throw new Error(`no process ${name}; known: ${[...this.processes.keys()].join(', ')}`);
    return child;
  }

  relay(from: string, to: string): Relay {
    const relay = this.relays.get(`${from}>${to}`);
    if (!relay)
      throw new Error(`no relay ${from}>${to}; known: ${[...this.relays.keys()].join(', ')}`);
    return relay;
  }

  /** Base URL of an entry, counted from 1. */
  entryUrl(number: number): string {
    return `http://${this.host}:${PORTS.entry + number - 1}`;
  }

  /** Addresses of the operators' service, as `--control` takes them. */
  get operatorAddresses(): string {
    const { controls } = this.#plan;
    const at = (index: number): string => `${this.host}:${PORTS.operator + index}`;
    return Array.from({ length: controls }, (_, index) => at(index)).join(',');
  }

  /** Runs an operator's command and resolves to what it printed. */
  async operate(...args: string[]): Promise<string> {
    const { stdout } = await execute(BINARY, [...args, '--control', this.operatorAddresses]);
    return stdout;
  }

  /** Gives a workspace a key and resolves to its id and secret. */
  async giveKey(workspace: string): Promise<{ key: string; secret: string }> {
    const output = await this.operate('keys', 'give', workspace, '--json');
    return JSON.parse(output) as { key: string; secret: string };
  }

  /** Address of an endpoint itself, past its sidecar. */
  endpointAddress(name: string): string {
    const index = this.#plan.endpoints.findIndex((endpoint) => endpoint.name === name);
    return `${this.host}:${PORTS.endpoint + index}`;
  }

  /** Switches faults of a stand-in engine while it runs. */
  async switchEngine(name: string, faults: Record<string, number>): Promise<void> {
    const url = `http://${this.endpointAddress(name)}/admin`;
    const answer = await fetch(url, { method: 'POST', body: JSON.stringify(faults) });
    if (!answer.ok) throw new Error(`${name} refused the faults`);
  }

  /** Histories of all endpoints from their files, which outlive crashes. */
  get histories(): EndpointHistories {
    const { endpoints } = this.#plan;
    return new Map(endpoints.map(({ name }) => [name, this.#readHistory(name)]));
  }

  /** History of a stand-in endpoint by its number in the plan, or of the platform. */
  async history(name: string): Promise<HistoryRecord[]> {
    const isPlatform = name === 'platform';
    const address = isPlatform ? `${this.host}:${PORTS.platform}` : this.endpointAddress(name);
    const answer = await fetch(`http://${address}/history`);
    return (await answer.json()) as HistoryRecord[];
  }

  #readHistory(name: string): HistoryRecord[] {
    const file = join(this.folder, `${name}.history`);
    const lines = readFileSync(file, 'utf8').split('\n').filter(Boolean);
    return lines.map((line) => JSON.parse(line) as HistoryRecord);
  }

  #route(from: string, to: string, address: string): string {
    if (!this.#plan.relays) return address;
    const relay = new Relay(address);
    this.relays.set(`${from}>${to}`, relay);
    const own = `${this.host}:${PORTS.relay + this.relays.size}`;
    this.#starts.push(relay.listen(own));
    return own;
  }

  #launch(name: string, text: string): void {
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, text);
    if (name.startsWith('control-')) mkdirSync(join(this.folder, name));
    const args = ['run', '--settings', file];
    const log = join(this.folder, `${name}.log`);
    const child = new ChildProcess({ name, binary: BINARY, args, log });
    this.processes.set(name, child);
    child.start();
  }

  async #areEntriesReady(): Promise<boolean> {
    for (let number = 1; number <= this.#plan.entries; number += 1) {
      const answer = await fetch(`${this.entryUrl(number)}/readyz`);
      if (!answer.ok) return false;
    }
    return true;
  }
}
