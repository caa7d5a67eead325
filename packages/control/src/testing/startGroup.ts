import { Deployment } from '@berylwood/testing';
import { OperatorGroup } from './OperatorGroup';

const PLANS = `[classes.chat]
first_token_ms = 1400
[plans.basic]
classes = { chat = 2 }
default_class = "chat"
models = ["m"]
`;

const CUSTOMERS = `[customers.acme]
plan = "basic"
`;

/** Length of usage windows in these tests. */
const CONTROL_SETTINGS = 'usage_window_ms = 1000\n';

/** A deployment of control replicas and the platform behind relays, with what tests do to it. @internal */
export class ReplicaGroup {
  readonly deployment: Deployment;

  readonly operators: OperatorGroup;

  readonly #replicaCount: number;

  constructor(count: number) {
    this.#replicaCount = count;
    this.deployment = new Deployment({
      entries: 0,
      controls: count,
      dataCentres: ['naas', 'portlaoise', 'drogheda'],
      endpoints: [],
      relays: true,
      plans: PLANS,
      customers: CUSTOMERS,
      extra: { control: CONTROL_SETTINGS },
    });
    this.operators = new OperatorGroup(this.deployment.operatorAddresses);
  }

  get names(): string[] {
    return Array.from({ length: this.#replicaCount }, (_, index) => `control-${index + 1}`);
  }

  /** Addresses of the replicas for nodes. */
  get nodeAddresses(): string[] {
    const operators = this.deployment.operatorAddresses.split(',');
    return operators.map((address) => {
      const [host, port] = address.split(':');
      return `${host}:${Number(port) - 500}`;
    });
  }

  /** Status of the leader. */
  leader() {
    return this.operators.call(async (client) => {
      await client.position.query();
      return client.status.query();
    });
  }

  /** Cuts a replica from the platform alone, so that orders wait on the way. */
  partitionFromPlatform(name: string): void {
    this.deployment.relay(name, 'platform').set('silent');
  }

  /** Cuts a replica from the platform when that has asked for the body of an order, and holds it. */
  holdNextBody(name: string): void {
    this.deployment.relay(name, 'platform').silenceAfterReply();
  }

  /** Cuts a replica from the others and the platform, in silence; bytes on the way wait. */
  partition(name: string): void {
    for (const relay of this.#relaysOf(name)) relay.set('silent');
  }

  /** Heals a cut and lets the bytes go. */
  heal(name: string): void {
    for (const relay of this.#relaysOf(name)) relay.set('pass');
  }

  #relaysOf(name: string) {
    return [...this.deployment.relays]
      .filter(([route]) => route.split('>').includes(name))
      .map(([, relay]) => relay);
  }
}

/** Starts control replicas and the platform. @internal */
export async function startGroup(count: number): Promise<ReplicaGroup> {
  const group = new ReplicaGroup(count);
  await group.deployment.start();
  return group;
}
