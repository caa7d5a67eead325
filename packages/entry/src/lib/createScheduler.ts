import { asId, Random } from '@berylwood/base';
import {
  FairScheduler,
  LeastLoadScheduler,
  RoundRobinScheduler,
  type Scheduler,
} from '@berylwood/policy';
import type { EntrySettings, ProcessSettings } from '@berylwood/schema';

/** Creates the scheduler selected in the settings. @internal */
export function createScheduler(
  settings: EntrySettings,
  process: ProcessSettings,
  random: Random,
): Scheduler {
  switch (settings.scheduler) {
    case 'round-robin':
      return new RoundRobinScheduler();
    case 'least-load':
      return new LeastLoadScheduler();
    default: {
      const seed = random.below(2 ** 31);
      return new FairScheduler({ dataCentre: asId(process.dataCentre), seed });
    }
  }
}
