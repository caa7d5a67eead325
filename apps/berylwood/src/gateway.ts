/**
 * Entry point of an instance that runs only the gateway role; `deploy/start.cjs` loads it. Load pattern: all instances are restarted
 * at once on fractions of a core, and callers wait until the code is loaded. It therefore imports neither
 * the other roles nor the command line.
 */
import { parseArgs } from 'node:util';
import { gatewayProcessSchema, type GatewayProcessSettings } from '@berylwood/schema';
import { addGateway } from './lib/addGateway';
import { exitOnFailure } from './lib/exitOnFailure';
import { readSettings } from './lib/readSettings';
import { runProcess, type ProcessPlan } from './lib/runProcess';

const gatewayOnly: ProcessPlan<GatewayProcessSettings> = {
  readSettings: (file) => readSettings(gatewayProcessSchema, file),
  addRoles: (tree, { gateway }, context) => {
    const role = addGateway(tree, gateway, context);
    return [{ reload: (next) => role.reload(next.gateway) }];
  },
  collectsProcessMetrics: () => false,
};

const { values } = parseArgs({
  options: { settings: { type: 'string', default: process.env.BERYLWOOD_CONFIG ?? '' } },
});
exitOnFailure(runProcess(values.settings ?? '', gatewayOnly));
