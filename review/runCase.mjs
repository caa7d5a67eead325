/* eslint import-x/extensions: 'off' -- Node.js resolves modules of its own by full file names. */
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { CaseRecord } from './CaseRecord.mjs';
import { createConfiguration } from './createConfiguration.mjs';
import { Deployment } from './Deployment.mjs';
import { EngineStandIn } from './EngineStandIn.mjs';
import { Operator } from './Operator.mjs';
import { PlatformStandIn } from './PlatformStandIn.mjs';

const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Time after which a case is given up; the users allow 120 seconds. */
const LIMIT_MS = 110_000;

/** Time before traffic, in which the machines find each other; the users' clients wait longer. */
const SETTLE_MS = 3000;

/** Addresses of the machines; the first three start the system. */
export const IPS = ['127.41.0.1', '127.41.0.2', '127.41.0.3', '127.41.0.4'];

export const CORE = ['core-1', 'core-2', 'core-3'];

/** Starts three machines with disks and a number of engines; false if they do not get ready. */
async function start({ deployment, platform, operator, record }, { engines, answer }) {
  await platform.open();
  await deployment.open(platform.address);
  for (let number = 1; number <= engines; number += 1) {
    const engine = new EngineStandIn({ id: `i-${number}`, service: 'engines', answer });
    await engine.open();
    platform.add(engine);
  }
  CORE.forEach((name, index) => deployment.addMachine({ name, ip: IPS[index] }));
  CORE.forEach((name) => deployment.start(name, { bootstrap: true }));
  if (!(await operator.configure(CORE[0], createConfiguration(3)))) return false;
  const ready = await Promise.all(CORE.map((name) => deployment.waitUntilReady(name)));
  await sleep(SETTLE_MS);
  record.add(`machines ready: ${ready.filter(Boolean).length} of ${CORE.length}`);
  return ready.every(Boolean);
}

/**
 * Runs one case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `play` resolves to the reason why the rule is broken, or to undefined; `TROUBLE=0` leaves out its
 * disruption.
 */
export async function runCase(folder, { engines, answer, play }) {
  const record = new CaseRecord(folder);
  const platform = new PlatformStandIn();
  const deployment = new Deployment(record);
  const operator = new Operator(deployment, record);
  const hasTrouble = process.env.TROUBLE !== '0';
  const parts = { deployment, platform, operator, record, hasTrouble };
  let exitCode = EXIT.notRun;
  let limit;
  const end = async () => {
    clearTimeout(limit);
    await deployment.close();
    platform.close();
    record.write();
    process.exit(exitCode);
  };
  limit = setTimeout(() => {
    record.add('the case was given up');
    exitCode = EXIT.notRun;
    end();
  }, LIMIT_MS);
  record.add(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  try {
    if (await start(parts, { engines, answer })) {
      const broken = await play(parts);
      record.add(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
      exitCode = broken === undefined ? EXIT.held : EXIT.broken;
    } else record.add('the machines did not start');
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  }
  await end();
}
