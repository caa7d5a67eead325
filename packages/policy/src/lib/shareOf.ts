import type { Configuration, WorkspaceId } from '@berylwood/schema';

const DEFAULT_SHARE = 1;

/** Weight of a workspace by its plan; 1 when it has none. @internal */
export function shareOf(configuration: Configuration | undefined, workspace: WorkspaceId): number {
  const plan = configuration?.customers[workspace]?.plan;
  return (plan !== undefined && configuration?.plans[plan]?.share) || DEFAULT_SHARE;
}
