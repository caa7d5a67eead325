import assert from 'node:assert/strict';
import test from 'node:test';
import { planListSchema } from './Configuration';
import { formatProblem } from './Problem';
import { parseToml } from './parseToml';
import { settingsSchema } from './Settings';

function problemsOf(schema: typeof planListSchema | typeof settingsSchema, text: string): string[] {
  const parsed = parseToml(schema, text, 'f.toml');
  assert.ok(parsed.isErr(), 'expected problems');
  return parsed.error.map(formatProblem);
}

const PLANS = `
[classes.guidance]
first_token_ms = 800

[plans.large]
share = 4
classes = { guidance = 1 }
default_class = "guidance"
`;

test('reads snake case names and fills in defaults', () => {
  const list = parseToml(planListSchema, PLANS, 'f.toml')._unsafeUnwrap();
  assert.equal(list.classes.guidance?.firstTokenMs, 800);
  assert.equal(list.classes.guidance?.betweenTokensMs, 58);
  assert.equal(list.plans.large?.defaultClass, 'guidance');
});

test('names file, line and the nearest field for an unknown one', () => {
  const text = PLANS.replace('first_token_ms', 'first_tokn_ms');
  const problems = problemsOf(planListSchema, text);
  assert.ok(
    problems.includes(
      'f.toml:3: classes.guidance.first_tokn_ms: unknown field; did you mean "first_token_ms"?',
    ),
    problems.join('\n'),
  );
});

test('names the line of a wrong value', () => {
  const problems = problemsOf(planListSchema, PLANS.replace('share = 4', 'share = "much"'));
  assert.match(problems.join('\n'), /^f\.toml:6: plans\.large\.share: .*expected number/);
});

test('names the line of a fault in the second table of an array', () => {
  const text = `[process]
name = "p"

[[sidecars]]
listen = "127.0.0.1:1"
control = ["127.0.0.1:2"]
endpoint = "e"
kind = "engine"
address = "127.0.0.1:3"

[[sidecars]]
listen = "nowhere"
control = ["127.0.0.1:2"]
endpoint = "e"
kind = "engine"
address = "127.0.0.1:3"
`;
  assert.deepEqual(problemsOf(settingsSchema, text), [
    'f.toml:12: sidecars[1].listen: expected IP:PORT',
  ]);
});

test('reports a syntax error with its line', () => {
  assert.match(problemsOf(planListSchema, 'a = 1\nb = = 2\n').join(), /^f\.toml:2: /);
});
