import { StateMachine } from '@berylwood/consensus';
import { Packr, Unpackr } from 'msgpackr';
import {
  NO_EVACUATIONS,
  applyOrder,
  type EvacuateOutcome,
  type EvacuationOrder,
  type EvacuationState,
} from './EvacuationState';

/** A configuration as it was received, compressed, with its external version. @public */
export interface StoredConfiguration {
  readonly version: number;
  /** Raw deflate of the document's bytes, so that it is read back unchanged. */
  readonly body: Uint8Array;
}

/** Outcome of a proposed configuration. @public */
export interface ConfigureOutcome {
  /** Whether the version was higher than the stored one, so that the document is in force. */
  readonly isStored: boolean;
  /** The version in force. */
  readonly version: number;
}

/** A command of the replicated log. @internal */
export type RegistryCommand =
  | { readonly type: 'configure'; readonly version: number; readonly body: Uint8Array }
  | { readonly type: 'closeWindow'; readonly window: number; readonly counts: string }
  | ({ readonly type: 'evacuate' } & EvacuationOrder)
  | { readonly type: 'confirm' };

interface Snapshot {
  readonly format: number;
  readonly configuration: StoredConfiguration | undefined;
  readonly windows: readonly [number, string][];
  /** Missing from earlier versions. */
  readonly evacuations?: EvacuationState;
}

const SNAPSHOT_FORMAT = 1;

/** Closed windows kept to repeat their reports exactly: one hour of five-second windows. */
const MAX_CLOSED_WINDOWS = 720;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** @internal */
export function encodeCommand(command: RegistryCommand): Uint8Array {
  return packr.pack(command);
}

/** State machine of the document in force, the evacuations and the frozen counts of usage windows. @public */
export class RegistryMachine extends StateMachine {
  /** Called after a higher version was stored, or a snapshot was restored. */
  onConfiguration: (configuration: StoredConfiguration) => void = () => {};

  /** Called after an evacuation was started or ended, or a snapshot was restored. */
  onEvacuations: (evacuations: EvacuationState) => void = () => {};

  #configuration: StoredConfiguration | undefined;

  #windows = new Map<number, string>();

  #evacuations = NO_EVACUATIONS;

  get configuration(): StoredConfiguration | undefined {
    return this.#configuration;
  }

  get evacuations(): EvacuationState {
    return this.#evacuations;
  }

  /** Number of the latest closed window; -1 without one. */
  get lastClosedWindow(): number {
    return Math.max(-1, ...this.#windows.keys());
  }

  /** Frozen counts of closed windows, oldest first. */
  get windows(): ReadonlyMap<number, string> {
    return this.#windows;
  }

  override apply(index: number, bytes: Uint8Array): Uint8Array {
    const command = unpackr.unpack(bytes) as RegistryCommand;
    switch (command.type) {
      case 'configure':
        return packr.pack(this.#configure(command.version, command.body));
      case 'closeWindow':
        return packr.pack(this.#closeWindow(command.window, command.counts));
      case 'evacuate':
        return packr.pack(this.#evacuate(index, command));
      default:
        return packr.pack(null);
    }
  }

  override snapshot(): Uint8Array {
    const configuration = this.#configuration;
    const snapshot: Snapshot = {
      format: SNAPSHOT_FORMAT,
      configuration,
      windows: [...this.#windows],
      evacuations: this.#evacuations,
    };
    return packr.pack(snapshot);
  }

  override restore(bytes: Uint8Array): void {
    const { configuration, windows, evacuations } = unpackr.unpack(bytes) as Snapshot;
    this.#windows = new Map(windows);
    this.#evacuations = evacuations ?? NO_EVACUATIONS;
    this.onEvacuations(this.#evacuations);
    if (!configuration) return;
    this.#configuration = configuration;
    this.onConfiguration(configuration);
  }

  /** The highest version wins; a repeated or lower version changes nothing. */
  #configure(version: number, body: Uint8Array): ConfigureOutcome {
    const current = this.#configuration;
    if (current && current.version >= version) return { isStored: false, version: current.version };
    this.#configuration = { version, body: Uint8Array.from(body) };
    this.onConfiguration(this.#configuration);
    return { isStored: true, version };
  }

  #evacuate(index: number, order: EvacuationOrder): EvacuateOutcome {
    const { state, result } = applyOrder(this.#evacuations, index, order);
    const isChanged = state !== this.#evacuations;
    this.#evacuations = state;
    if (isChanged) this.onEvacuations(state);
    return { result, revision: state.revision };
  }

  /** The first counts of a window are kept, so that all reports of a window are identical. */
  #closeWindow(window: number, counts: string): string {
    const frozen = this.#windows.get(window);
    if (frozen !== undefined) return frozen;
    this.#windows.set(window, counts);
    const [oldest] = this.#windows.keys();
    if (this.#windows.size > MAX_CLOSED_WINDOWS && oldest !== undefined)
      this.#windows.delete(oldest);
    return counts;
  }
}
