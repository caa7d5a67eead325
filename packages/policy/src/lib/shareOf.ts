import type { Configuration, WorkspaceId } from '@berylwood/schema';

const DEFAULT_SHARE = 1;

/** Fair-queueing weight of a workspace from its plan; 1 if it has none. @internal */
export function shareOf(configuration: Configuration | undefined, workspace: WorkspaceId): number {
  const plan = configuration?.customers[workspace]?.plan;
  return (plan !== undefined && configuration?.plans[plan]?.share) || DEFAULT_SHARE;
}
