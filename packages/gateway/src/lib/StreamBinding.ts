import type { RecordOutcome } from '@berylwood/registry';
import type { Attempt } from './Attempt';
import type { Endpoint } from './Endpoint';
import type { GatewayContext } from './GatewayContext';
import type { PoolName, SoftwareVersion } from './ids';
import type { ResolvedRequest } from './resolveRequest';

/** Multiple of the route's time limit for which the origin of a stream is kept: its caller may resume it so long. */
const KEEP_TIMEOUTS = 2;

/** Where a stream began. */
interface StreamBeginning {
  readonly pool: PoolName;
  readonly softwareVersion: SoftwareVersion;
}

/**
 * Binds the stream of one request to the software version that made its first event. The version is recorded
 * before the caller can have the event, so that any instance can find it when the caller resumes the stream.
 * @internal
 */
export class StreamBinding {
  readonly #context: GatewayContext;

  readonly #resolved: ResolvedRequest;

  #isBound = false;

  #pool: PoolName;

  /** Version that may continue the stream; undefined if it is unknown, so that none may. */
  #softwareVersion: SoftwareVersion | undefined;

  constructor(context: GatewayContext, resolved: ResolvedRequest) {
    this.#context = context;
    this.#resolved = resolved;
    this.#pool = resolved.target;
  }

  /** Whether the caller has the beginning of the stream from an earlier response. */
  get isResumption(): boolean {
    const { route, metadata } = this.#resolved;
    return route.kind === 'stream' && metadata.resumeAfter !== undefined;
  }

  /** Whether the stream has begun, so that only endpoints of one version may continue it. */
  get isBound(): boolean {
    return this.#isBound;
  }

  /** Whether an endpoint may serve the request. */
  allows({ listed }: Endpoint): boolean {
    if (!this.#isBound) return true;
    return this.#softwareVersion !== undefined && listed.softwareVersion === this.#softwareVersion;
  }

  /** Whether an endpoint that has not been tried is in service and may serve the request. */
  hasEndpoint(tried: ReadonlySet<string>): boolean {
    if (!this.#isBound) return true;
    const endpoints = this.#context.directory.endpointsOf(this.#pool);
    return endpoints.some(
      (endpoint) => endpoint.isInService && !tried.has(endpoint.listed.id) && this.allows(endpoint),
    );
  }

  /** Describes the stream for the log. */
  describe(): string {
    const { resumes, attempt } = this.#resolved.metadata;
    const version = this.#softwareVersion ?? 'unknown';
    return `version ${version} of stream ${resumes ?? attempt} in ${this.#pool} has no endpoint in service`;
  }

  /** Finds where the stream began that the caller resumes, and binds the request to it. */
  async find(): Promise<PoolName | undefined> {
    const { resumes } = this.#resolved.metadata;
    this.#isBound = true;
    const found = resumes === undefined ? await this.#findOnly() : await this.#search(resumes);
    this.#softwareVersion = found?.softwareVersion;
    this.#pool = found?.pool ?? this.#pool;
    return found?.pool;
  }

  /**
   * Binds the stream to the endpoint of its first event. Resolves once the caller may have the event: when its
   * version is recorded, or can't be within a bound. Undefined if there is nothing to wait for.
   */
  begin(attempt: Attempt): Promise<RecordOutcome> | undefined {
    if (this.#isBound) return undefined;
    const { route, target, metadata } = this.#resolved;
    this.#isBound = true;
    this.#softwareVersion = this.#versionOf(attempt);
    const { attempt: stream } = metadata;
    const version = this.#softwareVersion;
    if (!route.isResumable || stream === undefined || version === undefined) return undefined;
    const keepMs = KEEP_TIMEOUTS * route.timeoutMs;
    return this.#context.origins.record({ stream, pool: target, version, keepMs });
  }

  /** Whether the list has named another version for the endpoint of an attempt since it was started. */
  isReplaced({ endpoint, softwareVersion }: Attempt): boolean {
    const listed = this.#context.directory.find(endpoint.key)?.listed;
    return listed !== undefined && listed.softwareVersion !== softwareVersion;
  }

  /** The beginning of a stream that the caller names, in whichever pool of the route it was. */
  async #search(stream: string): Promise<StreamBeginning | undefined> {
    const { origins } = this.#context;
    const searches = this.#resolved.route.targets.map(async ({ pool }) => ({
      pool,
      softwareVersion: (await origins.find({ stream, pool })) as SoftwareVersion | undefined,
    }));
    const isFound = (item: Partial<StreamBeginning>): item is StreamBeginning =>
      item.softwareVersion !== undefined;
    return (await Promise.all(searches)).find(isFound);
  }

  /** The beginning of a stream that the caller does not name: known while one version serves and has served. */
  async #findOnly(): Promise<StreamBeginning | undefined> {
    const { target: pool } = this.#resolved;
    const version = await this.#context.origins.findOnlyVersion(pool);
    const endpoints = this.#context.directory.endpointsOf(pool);
    const isOnly = endpoints.every(({ listed }) => listed.softwareVersion === version);
    if (version === undefined || !isOnly) return undefined;
    return { pool, softwareVersion: version as SoftwareVersion };
  }

  /** Version that ran the attempt; undefined if it can't be known. */
  #versionOf(attempt: Attempt): SoftwareVersion | undefined {
    return this.isReplaced(attempt) ? undefined : attempt.softwareVersion;
  }
}
