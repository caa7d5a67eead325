import type { StandInSettings } from '@berylwood/schema';
import { EngineServer, PlatformServer, ServiceServer, type StandIn } from '@berylwood/testing';

/** Creates the stand-in described by settings or command options. @internal */
export function createStandIn(settings: StandInSettings): StandIn {
  switch (settings.kind) {
    case 'engine':
      return new EngineServer(settings);
    case 'service':
      return new ServiceServer(settings);
    default:
      return new PlatformServer(settings);
  }
}
