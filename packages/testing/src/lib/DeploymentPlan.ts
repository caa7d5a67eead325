/** An endpoint of a deployment under test. @public */
export interface EndpointPlan {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly dataCentre: string;
  readonly models?: readonly string[];
  readonly service?: string;
  readonly slots?: number;
  readonly prefillRate?: number;
  readonly decodeRate?: number;
}

/** What a deployment under test consists of. @public */
export interface DeploymentPlan {
  readonly entries: number;
  /** Control replicas; with more than one they form a group. */
  readonly controls: number;
  readonly dataCentres: readonly string[];
  readonly endpoints: readonly EndpointPlan[];
  /** Texts of the operator lists. */
  readonly plans: string;
  readonly customers: string;
  /** Whether connections between processes pass relays with switchable faults. */
  readonly relays?: boolean;
  /** Level of the processes' logs; `debug` when left out. */
  readonly logLevel?: 'debug' | 'info' | 'warn';
  /** Further lines for the settings of a role. */
  readonly extra?: Partial<Record<'process' | 'entry' | 'control' | 'sidecar' | 'standIn', string>>;
}

/** Ports of a deployment; each deployment has a loopback address of its own. @internal */
export const PORTS = {
  entry: 21_000,
  control: 22_000,
  operator: 22_500,
  sidecar: 23_000,
  endpoint: 24_000,
  platform: 24_900,
  admin: 25_000,
  relay: 26_000,
} as const;
