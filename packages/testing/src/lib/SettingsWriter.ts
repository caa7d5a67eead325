import { PORTS, type DeploymentPlan, type EndpointPlan } from './DeploymentPlan';

/** Resolves the address by which one process reaches another, which may be a relay's. @internal */
export type AddressBook = (from: string, to: string, address: string) => string;

/** Settings of one process of a deployment. @internal */
export interface ProcessSheet {
  readonly name: string;
  readonly text: string;
}

function quote(values: readonly string[]): string {
  return `[${values.map((value) => JSON.stringify(value)).join(', ')}]`;
}

function processTable(
  plan: DeploymentPlan,
  name: string,
  dataCentre: string,
  admin: string,
): string {
  return `[process]
name = "${name}"
instance = "${name}"
data_centre = "${dataCentre}"
${plan.extra?.process ?? ''}
[log]
level = "${plan.logLevel ?? 'debug'}"

[admin]
listen = "${admin}"
`;
}

/** Writes the settings of all processes of a deployment on one loopback address. @internal */
export class SettingsWriter {
  readonly #plan: DeploymentPlan;

  readonly #host: string;

  readonly #folder: string;

  readonly #book: AddressBook;

  #admins = 0;

  constructor(plan: DeploymentPlan, host: string, folder: string, book: AddressBook) {
    this.#plan = plan;
    this.#host = host;
    this.#folder = folder;
    this.#book = book;
  }

  get sheets(): ProcessSheet[] {
    const { controls, entries, endpoints } = this.#plan;
    return [
      { name: 'platform', text: this.#platform() },
      ...endpoints.map((endpoint, index) => this.#endpoint(endpoint, index)),
      ...Array.from({ length: controls }, (_, index) => this.#control(index)),
      ...endpoints.map((endpoint, index) => this.#sidecar(endpoint, index)),
      ...Array.from({ length: entries }, (_, index) => this.#entry(index)),
    ];
  }

  #at(port: number): string {
    return `${this.#host}:${port}`;
  }

  #dataCentre(index: number): string {
    const { dataCentres } = this.#plan;
    return dataCentres[index % dataCentres.length] ?? 'local';
  }

  #table(name: string, dataCentre: string): string {
    this.#admins += 1;
    return processTable(this.#plan, name, dataCentre, this.#at(PORTS.admin + this.#admins));
  }

  #controlAddresses(from: string): string {
    const addresses = Array.from({ length: this.#plan.controls }, (_, index) => {
      const to = `control-${index + 1}`;
      return this.#book(from, to, this.#at(PORTS.control + index));
    });
    return quote(addresses);
  }

  #platform(): string {
    return `${this.#table('platform', 'local')}
[[stand_ins]]
kind = "platform"
listen = "${this.#at(PORTS.platform)}"
history = "${this.#folder}/platform.history"
`;
  }

  #endpoint(endpoint: EndpointPlan, index: number): ProcessSheet {
    const { name, kind, models = [], slots = 8, prefillRate = 8000, decodeRate = 40 } = endpoint;
    const text = `${this.#table(name, endpoint.dataCentre)}
[[stand_ins]]
kind = "${kind}"
listen = "${this.#at(PORTS.endpoint + index)}"
name = "${name}"
models = ${quote(models)}
slots = ${slots}
prefill_rate = ${prefillRate}
decode_rate = ${decodeRate}
history = "${this.#folder}/${name}.history"
${this.#plan.extra?.standIn ?? ''}`;
    return { name, text };
  }

  #control(index: number): ProcessSheet {
    const name = `control-${index + 1}`;
    const others = Array.from({ length: this.#plan.controls }, (_, other) => other).filter(
      (other) => other !== index,
    );
    const voters = others.map((other) => {
      const to = `control-${other + 1}`;
      const address = this.#book(name, to, this.#at(PORTS.control + other));
      return `{ replica = "${to}", address = "${address}" }`;
    });
    const text = `${this.#table(name, this.#dataCentre(index))}
[control]
replica = "${name}"
data = "${this.#folder}/${name}"
listen = "${this.#at(PORTS.control + index)}"
operator = "${this.#at(PORTS.operator + index)}"
platform = "${this.#book(name, 'platform', this.#at(PORTS.platform))}"
voters = [${voters.join(', ')}]
plans = "${this.#folder}/plans.toml"
customers = "${this.#folder}/customers.toml"
${this.#plan.extra?.control ?? ''}`;
    return { name, text };
  }

  #sidecar(endpoint: EndpointPlan, index: number): ProcessSheet {
    const name = `sidecar-${endpoint.name}`;
    const listen = this.#at(PORTS.sidecar + index);
    const service = endpoint.service ? `service = "${endpoint.service}"\n` : '';
    const text = `${this.#table(name, endpoint.dataCentre)}
[[sidecars]]
listen = "${listen}"
announce = "${this.#book('entries', name, listen)}"
control = ${this.#controlAddresses(name)}
endpoint = "${endpoint.name}"
kind = "${endpoint.kind}"
address = "${this.#book(name, endpoint.name, this.#at(PORTS.endpoint + index))}"
models = ${quote(endpoint.models ?? [])}
slots = ${endpoint.slots ?? 8}
${service}${this.#plan.extra?.sidecar ?? ''}`;
    return { name, text };
  }

  #entry(index: number): ProcessSheet {
    const name = `entry-${index + 1}`;
    const text = `${this.#table(name, this.#dataCentre(index))}
[entry]
listen = "${this.#at(PORTS.entry + index)}"
control = ${this.#controlAddresses(name)}
balancer_notice_ms = 100
${this.#plan.extra?.entry ?? ''}`;
    return { name, text };
  }
}
