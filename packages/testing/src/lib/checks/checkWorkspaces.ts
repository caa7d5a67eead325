import type { JournalRecord } from '@berylwood/base';
import type { CallerRecord } from './CallerRecord';
import type { Run } from './Run';
import type { Violation } from './Violation';

/** Workspace for which each attempt ran, as the entries recorded it. @public */
export function workspacesOfAttempts(journal: readonly JournalRecord[]): Map<string, string> {
  const workspaces = new Map<unknown, string>();
  for (const { name, fields } of journal) {
    if (name === 'requestArrived') workspaces.set(fields.request, String(fields.workspace));
  }
  const result = new Map<string, string>();
  for (const { name, fields } of journal) {
    const workspace = workspaces.get(fields.request);
    if (name === 'requestDispatched' && workspace) result.set(String(fields.attempt), workspace);
  }
  return result;
}

/**
 * Every run belongs to a request that was sent, and ran for the workspace whose key came with it.
 * @param workspaces - workspace by attempt, of the attempts that are known.
 * @public
 */
export function checkWorkspaces(
  callers: readonly CallerRecord[],
  runs: readonly Run[],
  workspaces: ReadonlyMap<string, string>,
): Violation[] {
  const senders = new Map(callers.map(({ digest, workspace }) => [digest, workspace]));
  return runs.flatMap(({ digest, endpoint, attempt }) => {
    const sender = senders.get(digest);
    const runner = workspaces.get(attempt) ?? sender;
    if (sender !== undefined && runner === sender) return [];
    const detail = `${digest} of ${sender ?? 'nobody'} ran for ${runner ?? 'nobody'} at ${endpoint}`;
    return [{ check: 'workspaces', detail }];
  });
}
