import type { Job } from './Job';

/** Key of a pool of endpoints: the one model or service that it serves. @internal */
export type PoolKey = Pick<Job, 'kind' | 'target'>;

/** Map with one value for each pool of endpoints, created on first access. @internal */
export class PoolMap<Value> {
  readonly #create: (key: PoolKey) => Value;

  readonly #byKind = {
    engine: new Map<string, Value>(),
    service: new Map<string, Value>(),
  };

  constructor(create: (key: PoolKey) => Value) {
    this.#create = create;
  }

  get(key: PoolKey): Value {
    const byTarget = this.#byKind[key.kind];
    const known = byTarget.get(key.target);
    if (known !== undefined) return known;
    const value = this.#create({ kind: key.kind, target: key.target });
    byTarget.set(key.target, value);
    return value;
  }

  *values(): IterableIterator<Value> {
    yield* this.#byKind.engine.values();
    yield* this.#byKind.service.values();
  }
}
