/**
 * Entry point of an instance that runs only the gateway role, with the settings file that the environment
 * names. Load pattern: all instances are restarted at once on fractions of a core, and callers wait until
 * the code is loaded. Therefore it imports neither the other roles nor the command line, and its modules
 * are evaluated when the startup snapshot is built. None of them may use `node:http` before `main` runs,
 * since a snapshot of Node.js 20 cannot hold it.
 */
import { startupSnapshot } from 'node:v8';
import { SETTINGS_VARIABLE, compileDecoders } from '@berylwood/platform';
import { gatewayProcessSchema, type GatewayProcessSettings } from '@berylwood/schema';
import { addGateway } from './lib/addGateway';
import { exitOnFailure } from './lib/exitOnFailure';
import { readSettings } from './lib/readSettings';
import { runProcess, type ProcessPlan } from './lib/runProcess';
import { sighupHandler } from './lib/sighupHandler';

const gatewayOnly: ProcessPlan<GatewayProcessSettings> = {
  readSettings: (file) => readSettings(gatewayProcessSchema, file),
  addRoles: (tree, { gateway }, context) => {
    const role = addGateway(tree, gateway, context);
    return [{ reload: (next) => role.reload(next.gateway) }];
  },
  collectsProcessMetrics: () => false,
};

function main(): void {
  sighupHandler.install();
  exitOnFailure(runProcess(process.env[SETTINGS_VARIABLE] ?? '', gatewayOnly));
}

if (startupSnapshot.isBuildingSnapshot()) {
  compileDecoders();
  // Generates the validator of the settings.
  gatewayProcessSchema.safeParse({ process: {}, gateway: {} });
  startupSnapshot.setDeserializeMainFunction(main);
} else main();
