import { configurationSchema, type Configuration } from '@berylwood/schema';
import { loadScenarioSchema, type LoadScenario } from './LoadScenario';
import type { Outcome } from './Outcome';

/** A scenario of two workspaces and two classes, with fields of the load replaced. @internal */
export function createScenario(
  load: Record<string, unknown> = {},
  tables: Record<string, unknown> = {},
): LoadScenario {
  return loadScenarioSchema.parse({
    load: {
      name: 'test',
      durationS: 100,
      requestsPerSecond: 20,
      entries: ['127.0.0.1:1'],
      plans: 'plans.toml',
      customers: 'customers.toml',
      keys: 'keys.json',
      ...load,
    },
    workspaces: [{ name: 'large', weight: 3 }, { name: 'small' }],
    classes: { chat: { model: 'crew-8b', weight: 3 }, report: { model: 'crew-8b' } },
    ...tables,
  });
}

/** Operator lists for the scenario; both workspaces have equal shares. @internal */
export function createConfiguration(): Configuration {
  return configurationSchema.parse({
    classes: { chat: { firstTokenMs: 500 }, report: { firstTokenMs: 5000, betweenTokensMs: 200 } },
    plans: {
      standard: { classes: { chat: 1, report: 2 }, defaultClass: 'chat', models: ['crew-8b'] },
    },
    routes: [],
    zones: [],
    customers: { large: { plan: 'standard' }, small: { plan: 'standard' } },
  });
}

/** A request that was answered within its targets, with fields replaced. @internal */
export function createOutcome(fields: Partial<Outcome> = {}): Outcome {
  const { workspace = 'large', class: name = 'chat' } = fields;
  const arrival = { number: 1, atMs: 0, workspace, class: name, prefix: 0, answerTokens: 50 };
  return {
    arrival,
    digest: 'd1',
    workspace,
    class: name,
    tier: 1,
    pool: 'crew-8b',
    key: 'key-1',
    sentAt: 0,
    firstTokenAt: 100,
    endedAt: 2000,
    status: 200,
    text: 'text',
    expected: 'text',
    isWhole: true,
    firstTokenMs: 100,
    betweenTokensMs: 20,
    durationMs: 2000,
    work: 100,
    tokens: 50,
    ...fields,
  };
}
