import { settingsSchema, type Settings } from '@berylwood/schema';
import { addRoles } from './addRoles';
import { readSettings } from './readSettings';
import type { ProcessPlan } from './runProcess';

/** Runs whichever roles the settings name. @internal */
export const allRoles: ProcessPlan<Settings> = {
  readSettings: (file) => readSettings(settingsSchema, file),
  addRoles,
  // A gateway may run on a fraction of a core.
  collectsProcessMetrics: ({ gateway }) => gateway === undefined,
};
