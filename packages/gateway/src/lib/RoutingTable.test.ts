import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import type { Route } from './RoutingConfiguration';
import { RoutingTable, chooseTarget } from './RoutingTable';

const POOL = asId<'pool'>('engines');

function createRoute(name: string, prefix: string, rank: number): Route {
  return {
    name: asId<'route'>(name),
    host: 'a.example',
    prefix,
    kind: 'stream',
    isResumable: true,
    timeoutMs: 5000,
    objectiveMs: 1200,
    pauseMs: 500,
    rank,
    targets: [{ pool: POOL, weight: 1 }],
    maxAttempts: 2,
    isAnonymous: false,
    hasAffinity: true,
  };
}

const report = createRoute('report', '/a/', 2);
const letter = createRoute('letter', '/a/b/', 1);

function createTable(): RoutingTable {
  return new RoutingTable({
    version: 1,
    routes: [report, letter],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ name: asId<'workspace'>('w'), keys: ['k'], rank: 5 }],
  });
}

test('the route with the longest matching prefix is chosen', () => {
  const table = createTable();
  assert.equal(table.findRoute('a.example', '/a/b/c')?.name, 'letter');
  assert.equal(table.findRoute('a.example', '/a/c')?.name, 'report');
  assert.equal(table.findRoute('b.example', '/a/c'), undefined);
});

test('a route at the root matches every path, and a path without its slash matches no route', () => {
  const { configuration } = createTable();
  const routes = [createRoute('root', '/', 1), letter];
  const table = new RoutingTable({ ...configuration, routes });
  assert.equal(table.findRoute('a.example', '/')?.name, 'root');
  assert.equal(table.findRoute('a.example', '/a/b')?.name, 'root');
  assert.equal(table.findRoute('a.example', '/a/b/')?.name, 'letter');
  assert.equal(createTable().findRoute('a.example', '/a'), undefined);
});

test('a path of many slashes takes no more lookups than the longest prefix allows', () => {
  const path = '/'.repeat(60_000);
  const startedAt = performance.now();
  assert.equal(createTable().findRoute('a.example', path), undefined);
  assert.ok(performance.now() - startedAt < 20);
});

test('only the least urgent route of a pool is rejected under load', () => {
  const table = createTable();
  assert.equal(table.isLeastUrgent(report, POOL), true);
  assert.equal(table.isLeastUrgent(letter, POOL), false);
});

test('targets are chosen by weight', () => {
  const other = asId<'pool'>('other');
  const targets = [
    { pool: POOL, weight: 90 },
    { pool: other, weight: 10 },
  ];
  assert.equal(chooseTarget(targets, 0.5)?.pool, POOL);
  assert.equal(chooseTarget(targets, 0.95)?.pool, other);
});

test('requests are ordered by the urgency of the workspace, then of the route', () => {
  const { configuration } = createTable();
  const first = { name: asId<'workspace'>('v'), keys: ['l'], rank: 0 };
  const [second] = configuration.workspaces ?? [];
  assert.ok(second);
  const table = new RoutingTable({ ...configuration, workspaces: [first, second] });
  const levels = [first, second].flatMap((workspace) => [
    table.urgencyLevelOf(letter, workspace),
    table.urgencyLevelOf(report, workspace),
  ]);
  assert.deepEqual(levels, [0, 1, 2, 3]);
});
