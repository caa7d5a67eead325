import { controlEvents } from './events';
import type { MemberTable } from './MemberTable';
import { PlatformTask, type PlatformTaskOptions } from './PlatformTask';

const INTERVAL_MS = 1000;

/** Polls the platform's instance list, which may lag behind, into the member table. @public */
export class InstanceLister extends PlatformTask {
  readonly #members: MemberTable;

  #wasReachable = true;

  constructor(options: PlatformTaskOptions & { readonly members: MemberTable }) {
    super(options, INTERVAL_MS);
    this.#members = options.members;
  }

  /** Whether the last poll succeeded; a leader that can not reach the platform may transfer leadership. */
  get isReachable(): boolean {
    return this.#wasReachable;
  }

  protected override async step(): Promise<void> {
    const { platform, journal } = this.options;
    if (!platform) return;
    const listed = await platform.list();
    if (listed.isOk()) this.#members.setPlatformList(listed.value);
    if (listed.isErr() && this.#wasReachable) {
      journal.record(controlEvents.platformUnreachable, { reason: listed.error.message });
    }
    this.#wasReachable = listed.isOk();
  }
}
