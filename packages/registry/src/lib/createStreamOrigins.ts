import { FileDisk } from '@berylwood/consensus';
import type { MeshOptions } from './MeshOptions';
import type { OriginPeers } from './OriginPeers';
import { StreamOriginLog } from './StreamOriginLog';
import { StreamOrigins } from './StreamOrigins';

/** Creates the stream origins of an instance, with those on its own disk if it has one. @internal */
export function createStreamOrigins(options: MeshOptions, peers: OriginPeers): StreamOrigins {
  const { originDirectory, tolerance, timer, journal, metrics } = options;
  const openDisk = originDirectory === undefined ? undefined : () => FileDisk.open(originDirectory);
  const log = new StreamOriginLog({ openDisk, timer, journal });
  return new StreamOrigins({ log, peers, tolerance, timer, journal, metrics });
}
