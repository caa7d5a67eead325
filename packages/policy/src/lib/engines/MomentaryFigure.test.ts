import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MomentaryFigure } from './MomentaryFigure';
import { toSignificantFactor } from './toSignificantFactor';

test('a figure holds at first and has no effect after half a second', () => {
  const figure = new MomentaryFigure();
  assert.equal(figure.factorAt(0), 1);
  figure.observe(250, 1000);
  assert.equal(figure.factorAt(1000), 2.5);
  assert.ok(figure.factorAt(1200) < 1.6);
  assert.equal(toSignificantFactor(figure.factorAt(1500)), 1);
});

test('a newer figure replaces the one before', () => {
  const figure = new MomentaryFigure();
  figure.observe(250, 1000);
  figure.observe(100, 1010);
  assert.equal(figure.factorAt(1010), 1);
});

// Guards against an endpoint that draws or loses all requests by an extreme figure.
test('figures are bounded', () => {
  const figure = new MomentaryFigure();
  figure.observe(1, 0);
  assert.equal(toSignificantFactor(figure.factorAt(0)), 1);
  figure.observe(2 ** 31, 0);
  assert.equal(figure.factorAt(0), 4);
});

test('factors within 0.85 to 1.15 and unusable ones count as 1', () => {
  for (const factor of [undefined, 0.85, 1, 1.15, 0, -1, NaN, Infinity])
    assert.equal(toSignificantFactor(factor), 1);
  for (const factor of [0.84, 1.16, 4]) assert.equal(toSignificantFactor(factor), factor);
});
