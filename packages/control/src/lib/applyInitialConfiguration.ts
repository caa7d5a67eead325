import type { Journal } from '@berylwood/base';
import type { Ledger } from '@berylwood/ledger';
import {
  asWorkspaceId,
  createChangeId,
  createKeyId,
  formatProblem,
  loadConfiguration,
  type ControlSettings,
} from '@berylwood/schema';
import { controlEvents } from './events';
import { hashSecret, type OperatorService } from './OperatorService';

/** Options for applying the initial configuration. @internal */
export interface InitialConfigurationOptions {
  readonly settings: ControlSettings;
  readonly ledger: Ledger;
  readonly journal: Journal;
  readonly service: OperatorService;
}

/**
 * Applies the plans and customers files named in the settings if the group has no configuration yet.
 * The change expects revision 0, so it never replaces lists that an operator has applied.
 * @internal
 */
export async function applyInitialConfiguration(
  options: InitialConfigurationOptions,
): Promise<void> {
  const { settings, ledger, journal, service } = options;
  const { plans, customers, demoKey } = settings;
  if (ledger.feed.revision > 0 || !plans || !customers) return;
  const loaded = loadConfiguration(plans, customers);
  if (loaded.isErr()) {
    const message = loaded.error.map(formatProblem).join('\n');
    journal.record(controlEvents.changeRefused, { type: 'configure', message });
    return;
  }
  const change = (): ReturnType<typeof createChangeId> => createChangeId(ledger.index);
  const applied = await service.applyConfiguration(change(), 'settings', 0, loaded.value);
  const [workspace] = Object.keys(loaded.value.customers);
  if (applied.isErr() || !demoKey || !workspace) return;
  const record = {
    key: createKeyId(),
    hash: hashSecret(demoKey),
    workspace: asWorkspaceId(workspace),
  };
  await service.giveKey(change(), record);
}
