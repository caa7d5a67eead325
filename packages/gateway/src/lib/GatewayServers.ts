import { maxDescriptors } from '@berylwood/base';
import { ReadScheduler, type LinkServer } from '@berylwood/link';
import type { BodyBudget } from '@berylwood/policy';
import type { Mesh } from '@berylwood/registry';
import type { GatewaySettings } from '@berylwood/schema';
import { CallerServer } from './CallerServer';
import type { GatewayContext } from './GatewayContext';
import { memoryEvents } from './memoryEvents';
import { OperatorServer } from './OperatorServer';
import { ReadinessServer } from './ReadinessServer';
import { ReadRedirects } from './ReadRedirects';
import { UnfinishedHeads } from './UnfinishedHeads';

/**
 * Parts of the descriptors for connections that wait for a request. The rest is for requests, endpoints,
 * other instances and files.
 */
const CALLER_SHARE = 1 / 2;
const OTHER_SHARE = 1 / 16;

/** Bytes of one unfinished head at most; as many heads may be unfinished as the body budget has room for. */
const MAX_HEADS = 4096;

/** @internal */
export interface GatewayServersOptions {
  readonly context: GatewayContext;
  readonly settings: GatewaySettings;
  readonly mesh: Mesh;
  /** Accepts the links of other instances. */
  readonly links: LinkServer;
  readonly isReady: () => boolean;
  /** Size of the configuration document in force, in bytes; 0 without one. */
  readonly documentBytes: () => number;
}

/** The HTTP servers of an instance. @internal */
export class GatewayServers {
  readonly callers: CallerServer;

  readonly #operators: OperatorServer;

  readonly #readiness: ReadinessServer;

  readonly #settings: GatewaySettings;

  constructor({ context, settings, mesh, links, isReady, documentBytes }: GatewayServersOptions) {
    const { wire, journal, metrics, faults, timer, random, bodies, operatorBodies } = context;
    const { linkMbps } = settings;
    const redirects = new ReadRedirects({ linkMbps, listeners: mesh.operators, random });
    this.#settings = settings;
    this.callers = new CallerServer(context);
    this.#readiness = new ReadinessServer(wire.paths.readiness, isReady);
    this.#operators = new OperatorServer({
      ...{ wire, mesh, journal, metrics, faults, timer },
      bodies: operatorBodies,
      ...{ linkMbps, redirects, documentBytes },
    });
    const descriptors = maxDescriptors();
    const scheduler = new ReadScheduler(() => timer.now());
    const limitsOf = (share: number, budget: BodyBudget) => ({
      scheduler,
      timer,
      onUnread: () => journal.record(memoryEvents.readerCut, {}),
      input: { open: (onEnd: () => void) => budget.open('request', onEnd) },
      waiting: new UnfinishedHeads({
        maxWaiting: Math.min(MAX_HEADS, Math.floor(descriptors * share)),
        timer,
        journal,
      }),
    });
    this.callers.limitConnections(limitsOf(CALLER_SHARE, bodies));
    this.#readiness.limitConnections(limitsOf(OTHER_SHARE, operatorBodies));
    this.#operators.limitConnections(limitsOf(OTHER_SHARE, operatorBodies));
    const { waiting, ...parts } = limitsOf(OTHER_SHARE, operatorBodies);
    links.limitConnections(
      { ...parts, onConnection: (connection) => waiting.accept(connection) },
      (server) => waiting.watch(server),
    );
  }

  async listen(): Promise<void> {
    const { readiness, callers, operators } = this.#settings;
    await this.#readiness.listen(readiness);
    await this.callers.listen(callers);
    if (operators) await this.#operators.listen(operators);
  }

  close(): void {
    this.callers.close();
    this.#operators.close();
    this.#readiness.close();
  }
}
