import type { Journal, Timer } from '@berylwood/base';
import type { EngineId, EngineSums } from '@berylwood/policy';
import { RotatingBatch, type WorkAttachments } from '@berylwood/registry';
import type { EndpointDirectory } from './EndpointDirectory';
import { engineIdOf, type EngineModel } from './EngineModel';
import { MAX_ENGINES, engineSpeedsSchema, type EngineSpeeds } from './engineSpeedMessages';
import { gatewayEvents } from './events';

/** Minimum time between two messages to or from one instance, in milliseconds: speeds change slowly. */
const INTERVAL_MS = 450;

/** Instances for which the leader keeps what it has sent. */
const MAX_INSTANCES = 2000;

/** Interval between log lines about invalid messages, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** Digits after the decimal point of the numbers that are sent. */
const SCALE = 1000;

const round = (value: number): number => Math.round(value * SCALE) / SCALE;

/** @internal */
export interface EngineSpeedSharingOptions {
  readonly engines: Pick<EngineModel, 'estimator'>;
  readonly directory: Pick<EndpointDirectory, 'find'>;
  readonly timer: Timer;
  readonly journal: Journal;
}

/**
 * Shares observations of engines: instances hand their new ones over to the leader, and the leader sends the sums
 * of all instances back. Load pattern: an instance rarely sends a request to a given engine. An observation is
 * lost if the link to the leader breaks while it is under way.
 * @internal
 */
export class EngineSpeedSharing implements WorkAttachments {
  readonly #options: EngineSpeedSharingOptions;

  readonly #reports = new RotatingBatch(MAX_ENGINES);

  #reportedAt = -Infinity;

  /** By instance, when the leader has sent an update and which engines are next. */
  readonly #updates = new Map<string, { readonly batch: RotatingBatch; at: number }>();

  #loggedAt = -Infinity;

  constructor(options: EngineSpeedSharingOptions) {
    this.#options = options;
  }

  readonly createReport = (): EngineSpeeds | undefined => {
    const { engines, timer } = this.#options;
    const now = timer.now();
    if (now - this.#reportedAt < INTERVAL_MS) return undefined;
    this.#reportedAt = now;
    const { estimator } = engines;
    return this.#compose(this.#reports.take(estimator.unshared()), (engine) =>
      estimator.takeUnshared(engine, now),
    );
  };

  readonly receiveReport = (instance: string, value: unknown): void => {
    const { engines, timer } = this.#options;
    for (const [engine, sums] of this.#parse(instance, value)) {
      engines.estimator.merge(engine, sums, timer.now());
    }
  };

  readonly createUpdate = (instance: string): EngineSpeeds | undefined => {
    const { engines, timer } = this.#options;
    const { estimator } = engines;
    const now = timer.now();
    // The leader's own observations are in the sums that it sends.
    estimator.unshared().forEach((engine) => estimator.takeUnshared(engine, now));
    const update = this.#updates.get(instance) ?? {
      batch: new RotatingBatch(MAX_ENGINES),
      at: -Infinity,
    };
    if (now - update.at < INTERVAL_MS) return undefined;
    if (this.#updates.size >= MAX_INSTANCES) this.#updates.clear();
    this.#updates.set(instance, update);
    update.at = now;
    return this.#compose(update.batch.take(estimator.known()), (engine) =>
      estimator.sums(engine, now),
    );
  };

  readonly receiveUpdate = (value: unknown): void => {
    const { engines, timer } = this.#options;
    for (const [engine, sums] of this.#parse('leader', value)) {
      engines.estimator.replace(engine, sums, timer.now());
    }
  };

  #compose(
    engines: readonly EngineId[],
    sumsOf: (engine: EngineId) => EngineSums,
  ): EngineSpeeds | undefined {
    if (engines.length === 0) return undefined;
    const engineSpeeds = engines.map((engine): EngineSpeeds['engineSpeeds'][number] => {
      const [prefill, event, whilePrefilling] = sumsOf(engine).map((sums) => sums.map(round));
      return [
        engine.key,
        [prefill, event, whilePrefilling],
      ] as EngineSpeeds['engineSpeeds'][number];
    });
    return { engineSpeeds };
  }

  /** Sums of the engines that this instance knows. */
  #parse(instance: string, value: unknown): [EngineId, EngineSums][] {
    const { directory, timer, journal } = this.#options;
    const parsed = engineSpeedsSchema.safeParse(value);
    if (parsed.success) {
      return parsed.data.engineSpeeds.flatMap(([key, sums]): [EngineId, EngineSums][] => {
        const endpoint = directory.find(key);
        return endpoint ? [[engineIdOf(endpoint), sums]] : [];
      });
    }
    if (timer.now() - this.#loggedAt >= LOG_INTERVAL_MS) {
      this.#loggedAt = timer.now();
      journal.record(gatewayEvents.engineSpeedsInvalid, {
        instance,
        reason: parsed.error.message,
      });
    }
    return [];
  }
}
