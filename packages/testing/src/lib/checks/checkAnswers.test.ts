import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkAnswers } from './checkAnswers';
import { createCaller, createRefusal } from './fixtures';

test('whole own answers and stated errors pass', () => {
  const broken = createCaller({ error: 'endpointFailed', isWhole: false, text: 'the' });
  assert.deepEqual(checkAnswers([createCaller(), createRefusal(), broken]), []);
});

test('a cut answer and an answer of another request are found', () => {
  const cut = createCaller({ digest: 'cut', text: 'the', isWhole: false });
  const crossed = createCaller({ digest: 'crossed', text: 'another answer' });
  const shortened = createCaller({ digest: 'shortened', text: 'the' });
  const found = checkAnswers([createCaller(), cut, crossed, shortened]);
  assert.deepEqual(
    found.map(({ detail }) => detail.split(':')[0]),
    ['cut', 'crossed', 'shortened'],
  );
});
