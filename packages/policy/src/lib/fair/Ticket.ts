import type { Job } from '../Job';
import type { QueueItem } from '../queue/FairQueue';
import type { WaitingPool } from './WaitingPool';

/** A job that waits in an entry's queues. @internal */
export class Ticket implements QueueItem {
  readonly job: Job;

  readonly pool: WaitingPool;

  readonly work: number;

  readonly startBy: number;

  isWaiting = true;

  /**
   * @param work expected work, in tokens
   * @param startBy time by which the job must be dispatched to meet its target, in milliseconds
   */
  constructor(job: Job, pool: WaitingPool, work: number, startBy: number) {
    this.job = job;
    this.pool = pool;
    this.work = work;
    this.startBy = startBy;
  }

  get workspace(): Job['workspace'] {
    return this.job.workspace;
  }

  get share(): number {
    return this.job.share;
  }
}
