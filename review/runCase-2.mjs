/* eslint-disable import-x/extensions -- Node.js resolves modules by their full file names. */
import { dirname } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { CaseRecord } from './CaseRecord-2.mjs';
import { Fleet } from './Fleet-2.mjs';
import { PlatformStandIn } from './PlatformStandIn-2.mjs';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Time from the readiness of all nodes to the first request; nodes learn meanwhile how many they are. */
const SETTLE_MS = 3000;

/** The case ends after this time, whatever it has done, in milliseconds. */
const LIMIT_MS = 110_000;

/**
 * Starts a platform, engines and gateways, configures them and plays a case. Exits with 1 if the case says that a
 * rule was broken, with 0 if it held, and with 2 if the case could not run.
 * @param url - `import.meta.url` of the case, whose folder gets the record.
 */
export async function runCase(url, { nodes, engines, configuration, play }) {
  const record = new CaseRecord(dirname(fileURLToPath(url)));
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add(`trouble: ${hasTrouble}`);
  const platform = new PlatformStandIn();
  let fleet;
  const close = async () => {
    await fleet?.close();
    for (const engine of engines) engine.close();
    platform.close();
    record.write();
  };
  const limit = setTimeout(() => {
    record.add('the case has reached its time limit');
    close().finally(() => process.exit(NOT_RUN));
  }, LIMIT_MS);
  let status = NOT_RUN;
  try {
    for (const engine of engines) await engine.start();
    platform.setInstances(engines.map(({ listed }) => listed));
    await platform.start();
    fleet = new Fleet({ count: nodes, platform, record });
    await fleet.start();
    await fleet.configure(configuration);
    for (const node of fleet.nodes) await fleet.waitUntilReady(node);
    record.add('all nodes are ready');
    await sleep(SETTLE_MS);
    const isBroken = await play({ fleet, platform, engines, record, hasTrouble });
    status = isBroken ? BROKEN : HELD;
    record.add(isBroken ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await close();
  process.exit(status);
}
