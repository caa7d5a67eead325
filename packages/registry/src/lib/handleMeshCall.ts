import { fail, type Failure } from '@berylwood/base';
import { ok, type Result } from 'neverthrow';
import { registryCodes } from './codes';
import type { DialerMessage } from './MeshMessage';
import type { Registry } from './Registry';
import type { StoredConfiguration } from './RegistryMachine';
import { unpackOrigin } from './StreamOrigin';
import type { StreamOriginLog } from './StreamOriginLog';

/** What an instance has to reply to calls. @internal */
export interface CallContext {
  readonly registry: Registry | undefined;
  /** The configuration that the instance has applied. */
  readonly applied: StoredConfiguration | undefined;
  readonly originLog: StreamOriginLog;
}

/** The reply to a read: the document is left out if the asking instance holds it. */
function toReadReply(
  newest: StoredConfiguration | undefined,
  held: number | undefined,
): StoredConfiguration | Pick<StoredConfiguration, 'version'> | null {
  if (!newest) return null;
  return newest.version === held ? { version: newest.version } : newest;
}

/** Replies to a call of another instance; fails if it needs a replica that this instance lacks. @internal */
export async function handleMeshCall(
  { registry, applied, originLog }: CallContext,
  message: DialerMessage,
): Promise<Result<unknown, Failure>> {
  switch (message.type) {
    case 'fetch':
      return ok(applied ?? null);
    case 'configure':
      if (!registry) break;
      return registry.configure(message.version, message.body);
    case 'evacuate':
      if (!registry) break;
      return registry.evacuate(message);
    case 'readNewest':
      if (!registry) break;
      return (await registry.readNewest()).map((newest) => toReadReply(newest, message.held));
    case 'recordOrigins':
      return ok(await originLog.append(message.origins.map(unpackOrigin)));
    case 'findOrigin':
      return ok((await originLog.search(message)) ?? null);
    case 'findVersions':
      return ok((await originLog.versionsOf(message.pool)) ?? null);
    default:
  }
  return fail(registryCodes.replicaClosed, 'this instance has no replica');
}
