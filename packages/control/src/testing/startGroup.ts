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

/** Short usage windows, so that they close during a test. */
const CONTROL_SETTINGS = 'usage_window_ms = 1000\n';

/** A deployment of control replicas and the platform behind relays that can inject faults. @internal */
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

  /** Addresses at which the replicas serve nodes. */
  get nodeAddresses(): string[] {
    const operators = this.deployment.operatorAddresses.split(',');
    return operators.map((address) => {
      const [host, port] = address.split(':');
      return `${host}:${Number(port) - 500}`;
    });
  }

  /** Returns the status of the leader. */
  leader() {
    return this.operators.call(async (client) => {
      await client.position.query();
      return client.status.query();
    });
  }

  /** Partitions a replica from the platform only, so that its orders are delayed in flight. */
  partitionFromPlatform(name: string): void {
    this.deployment.relay(name, 'platform').set('silent');
  }

  /**
   * Delays the body of the replica's next order: partitions the replica from the platform once the
   * platform has asked for the body.
   */
  holdNextBody(name: string): void {
    this.deployment.relay(name, 'platform').silenceAfterReply();
  }

  /** Partitions a replica from the other replicas and the platform; bytes in flight are delayed. */
  partition(name: string): void {
    for (const relay of this.#relaysOf(name)) relay.set('silent');
  }

  /** Heals a partition and delivers the delayed bytes. */
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
