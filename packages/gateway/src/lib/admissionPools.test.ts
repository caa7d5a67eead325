import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import { createRoute } from '../fixtures/fleetLoad';
import { admissionPools } from './admissionPools';
import type { Endpoint } from './Endpoint';
import { RoutingTable } from './RoutingTable';

const createEndpoint = (isInService: boolean): Endpoint =>
  ({ isInService, waitingTokens: 3000 }) as unknown as Endpoint;

// Guards against capacity of engines that are not in service, and against the objective of a more urgent route.
test('pools of engines are described by those in service and by the least urgent route', () => {
  const table = new RoutingTable({
    version: 1,
    routes: [createRoute('tight', 0, 400, 300), createRoute('long', 1, 2000, 1200)],
    pools: ['pool', 'plain'].map((name) => ({
      ...{ name: asId<'pool'>(name), healthPath: '/', maxConnections: 1000 },
      engine: name === 'pool' ? { slots: 64, kvCacheTokens: 1000 } : undefined,
    })),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: undefined,
  });
  const endpoints = [true, true, false].map(createEndpoint);
  const directory = { endpointsOf: () => endpoints };
  const pools = admissionPools(table, directory, { prefillMsPerToken: () => 0.05 });
  assert.deepEqual(pools, [
    { name: 'pool', engines: 2, queuedTokens: 6000, priorPerS: 40_000, objectiveMs: 2000 },
  ]);
});
