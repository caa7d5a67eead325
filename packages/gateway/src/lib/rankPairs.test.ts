import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import { distinctRankPairs } from './rankPairs';
import type { Route, RoutingConfiguration, Workspace } from './RoutingConfiguration';

function createRoute(index: number, rank: number, isAnonymous = false): Route {
  return {
    name: asId<'route'>(`route-${index}`),
    host: 'host.example',
    prefix: `/${index}/`,
    kind: 'stream',
    isResumable: false,
    timeoutMs: 3000,
    objectiveMs: 800,
    pauseMs: 200,
    rank,
    targets: [{ pool: asId<'pool'>('pool'), weight: 1 }],
    maxAttempts: 1,
    isAnonymous,
    hasAffinity: true,
  };
}

function createWorkspace(index: number, rank: number | undefined): Workspace {
  return { name: asId<'workspace'>(`workspace-${index}`), keys: [`key-${index}`], rank };
}

function createConfiguration(
  routes: readonly Route[],
  workspaces: readonly Workspace[] | undefined,
): RoutingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version: 1, routes, pools: [], limits, workspaces };
}

test('a thousand routes and forty workspaces yield a pair for each combination of ranks', () => {
  const routes = Array.from({ length: 1000 }, (_, index) => createRoute(index, index % 3));
  const workspaces = Array.from({ length: 40 }, (_, index) => createWorkspace(index, index % 4));
  assert.equal(distinctRankPairs(createConfiguration(routes, workspaces)).length, 12);
});

test('a workspace without a rank takes the rank of the route', () => {
  const configuration = createConfiguration([createRoute(1, 3)], [createWorkspace(1, undefined)]);
  assert.deepEqual(distinctRankPairs(configuration), [{ rank: 3, routeRank: 3 }]);
});

test('routes that need no key add a pair without a workspace', () => {
  const routes = [createRoute(1, 1), createRoute(2, 2, true)];
  const pairs = distinctRankPairs(createConfiguration(routes, [createWorkspace(1, 0)]));
  assert.deepEqual(pairs, [
    { rank: 0, routeRank: 1 },
    { rank: 0, routeRank: 2 },
    { rank: 2, routeRank: 2 },
  ]);
});
