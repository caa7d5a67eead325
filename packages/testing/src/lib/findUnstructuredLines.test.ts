import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Journal, SystemTimer, baseEvents } from '@berylwood/base';
import { findUnstructuredLines } from './findUnstructuredLines';

const WARNING =
  '(node:12397) MaxListenersExceededWarning: Possible EventEmitter memory leak detected. 11 end listeners added';

/** Log of a process with an event at each level of the base package. */
function createLog(): string {
  let log = '';
  const destination = {
    write: (line: string) => {
      log += line;
    },
  };
  const timer = new SystemTimer();
  const journal = new Journal({
    process: 'a',
    incarnation: 'i',
    timer,
    level: 'debug',
    destination,
  });
  for (const event of Object.values(baseEvents)) {
    journal.record(event, { text: 'first\nsecond "third" (node:1) Warning', stack: 'at x' });
  }
  return log;
}

test('log lines of a journal are structured', () => {
  const log = createLog();
  assert.ok(log.split('\n').length > 2);
  assert.deepEqual(findUnstructuredLines(log, false), []);
  assert.deepEqual(findUnstructuredLines('', false), []);
});

// Guards against a warning of Node.js that stays unseen among the log lines of a process.
test('any other line is unstructured', () => {
  const others = [
    WARNING,
    '(Use `node --trace-warnings ...` to show where the warning was created)',
    '    at Socket.emit (node:events:518:28)',
    'address 127.0.0.1:80 is in use',
    '',
    ' ',
    'null',
    '7',
    '[]',
    '{}',
    '{"level":30,"time":1,"msg":"an event without a number"}',
    '{"level":30,"event":"1000","name":"processStarted"}',
    '{"level":30,"event":1000}',
    '{"level":30,"event":1000,"name":""}',
    `${createLog().split('\n')[0]}${WARNING}`,
  ];
  for (const line of others) {
    const output = `${createLog()}${line}\n${createLog()}`;
    assert.deepEqual(findUnstructuredLines(output, false), [line]);
    assert.deepEqual(findUnstructuredLines(output, true), [line]);
  }
  const all = others.join('\n');
  assert.deepEqual(findUnstructuredLines(`${all}\n`, true), others);
});

test('an unfinished line is structured only if it is the start of a log line that SIGKILL has cut', () => {
  const log = createLog();
  const [line = ''] = log.split('\n');
  for (let length = 1; length <= line.length; length += 1) {
    const cut = line.slice(0, length);
    assert.deepEqual(findUnstructuredLines(`${log}${cut}`, true), [], cut);
    assert.deepEqual(findUnstructuredLines(`${log}${cut}`, false), [cut]);
    assert.deepEqual(findUnstructuredLines(`${cut}\n`, true), length < line.length ? [cut] : []);
  }
  for (const cut of ['(node:1', WARNING, '{"l?', '{"event":1000']) {
    assert.deepEqual(findUnstructuredLines(`${log}${cut}`, true), [cut]);
  }
});
