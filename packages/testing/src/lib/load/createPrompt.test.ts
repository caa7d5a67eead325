import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPrompt } from './createPrompt';
import { createOutcome, createScenario } from './fixtures';

const { classes } = createScenario(
  {},
  {
    classes: { chat: { model: 'crew-8b', promptTokens: 100, prefixTokens: 64, prefixes: 2 } },
  },
);
const { chat } = classes;
const { arrival } = createOutcome();

test('prompts of a workspace share their prefix and nothing more', () => {
  assert.ok(chat);
  const one = createPrompt(arrival, chat, 'run');
  const other = createPrompt({ ...arrival, number: 2 }, chat, 'run');
  assert.equal(one.slice(0, 256), other.slice(0, 256));
  assert.notEqual(one, other);
  const foreign = createPrompt({ ...arrival, workspace: 'small' }, chat, 'run');
  assert.notEqual(one.slice(0, 256), foreign.slice(0, 256));
  assert.notEqual(one, createPrompt(arrival, chat, 'next'));
});
