/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createConfiguration } from '../createConfiguration.mjs';
import { CORE, IPS, runCase } from '../runCase.mjs';

/** `catchUpS`: time after its start from which a new machine no longer counts as lost. */
const CATCH_UP_MS = 4000;

/** Time between the end of the replaced machine and the loss of the other machine's disk. */
const PAUSE_MS = 300;

const DOWN_MS = 1000;

/** `recoverS`, within which service may be suspended after all machines are back. */
const RECOVER_MS = 12_000;

/** Time for which the operator reads back: twice `contactMs`. */
const READ_BACK_MS = 6000;

const NEWEST = 7;
const [REPLACED, LOST, KEPT] = CORE;
const SUCCESSOR = 'core-4';

async function replaceMachine({ deployment }) {
  deployment.addMachine({ name: SUCCESSOR, ip: IPS[CORE.length] });
  deployment.start(SUCCESSOR);
  await deployment.waitUntilReady(SUCCESSOR);
  await sleep(CATCH_UP_MS);
  deployment.signal(REPLACED, 'SIGTERM');
  await deployment.machines.get(REPLACED).exited;
}

async function loseDisk({ deployment }) {
  deployment.signal(LOST, 'SIGKILL');
  await deployment.machines.get(LOST).exited;
  deployment.loseDisk(LOST);
  await sleep(DOWN_MS);
  deployment.start(LOST);
}

async function readBack({ operator }) {
  const endsAt = Date.now() + READ_BACK_MS;
  let newest;
  while (Date.now() < endsAt && newest === undefined) {
    for (const name of [LOST, KEPT, SUCCESSOR]) newest ??= await operator.read(name);
    await sleep(500);
  }
  return newest;
}

runCase(import.meta.dirname, {
  engines: 1,
  answer: () => {},
  play: async (parts) => {
    const { operator, hasTrouble } = parts;
    await replaceMachine(parts);
    await sleep(PAUSE_MS);
    if (!(await operator.configure(LOST, createConfiguration(NEWEST))))
      throw new Error('the configuration was not acknowledged');
    if (hasTrouble) await loseDisk(parts);
    await sleep(RECOVER_MS);
    const version = await readBack(parts);
    await operator.configure(KEPT, createConfiguration(NEWEST + 1), 2000);
    if (version === NEWEST) return undefined;
    return `version ${NEWEST} was acknowledged, but reading it back gave ${version ?? 'nothing'}`;
  },
});
