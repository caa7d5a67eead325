import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { checkFile } from './checkFile';

type Value = string | number | boolean | undefined;

/** Template fields that the platform provides for a machine with a disk. */
function createFields(overrides: Record<string, Value> = {}): Record<string, Value> {
  return {
    nodeName: 'edge-naas-1',
    zone: 'naas',
    ip: '10.0.0.1',
    'listen.frontend': '10.0.0.1:8080',
    'listen.readiness': '10.0.0.1:8081',
    'listen.controlPlane': '10.0.0.1:8082',
    'internalPorts.0': 7020,
    'internalPorts.1': 7021,
    seeds: '["10.0.0.1:8082","10.0.0.2:8082"]',
    bootstrap: true,
    dataDir: '/data',
    'faultTolerance.machines': 1,
    'cloud.address': '10.0.0.9:80',
    'cloud.ratePerS': 12.5,
    'bounds.usageWindowS': 5,
    'bounds.graceS': 8,
    'bounds.retryBudgetRatio': 0.2,
    'bounds.retryBudgetSlack': 60,
    'bounds.leaseMs': 3000,
    ...overrides,
  };
}

/** Renders values, JSON values and sections that are not nested; the template uses nothing else. */
function render(template: string, fields: Record<string, Value>): string {
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name: string, inner: string) =>
      fields[name] === undefined ? '' : inner,
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name: string, json: string | undefined) => {
      const value = fields[name];
      assert.notEqual(value, undefined, `the template uses the undefined field ${name}`);
      const isText = typeof value === 'string' && name !== 'seeds';
      return json && isText ? JSON.stringify(value) : String(value);
    });
}

function check(context: TestContext, overrides: Record<string, Value>): string[] {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-template-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const file = join(directory, 'settings.toml');
  const template = readFileSync('deploy/gateway.toml.template', 'utf8');
  writeFileSync(file, render(template, createFields(overrides)));
  return checkFile(file);
}

test('the rendered settings of a machine with a disk are valid', (context) => {
  assert.deepEqual(check(context, {}), []);
});

test('the rendered settings without disk, operator listener and platform are valid', (context) => {
  const overrides = { dataDir: undefined, 'listen.controlPlane': undefined };
  assert.deepEqual(check(context, { ...overrides, 'cloud.address': undefined }), []);
});

test('a field with an invalid value is reported by name', (context) => {
  assert.match(check(context, { 'faultTolerance.machines': -1 }).join('\n'), /tolerance/);
});
