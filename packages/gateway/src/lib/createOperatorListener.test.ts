import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createOperatorListener } from './createOperatorListener';

test('a listener is stated by an address at which it can be reached', () => {
  const create = (operators: string | undefined, linkMbps?: number) =>
    createOperatorListener({ operators, ip: '10.0.0.1', linkMbps })?.address;
  assert.equal(create('10.0.0.2:80', 7), '10.0.0.2:80');
  assert.equal(create('0.0.0.0:80', 7), '10.0.0.1:80');
  assert.equal(create('10.0.0.2:80'), undefined);
  assert.equal(create(undefined, 7), undefined);
});
