import type { IncarnationId, MeterBatch, MeterRecord, Work, WorkspaceId } from '@berylwood/schema';

/** Work of one workspace in one class on one model. @public */
export interface UsageLine {
  readonly workspace: WorkspaceId;
  readonly class: string;
  readonly model: string;
  readonly billable: boolean;
  readonly requests: number;
  readonly work: Work;
}

function lineKey(record: MeterRecord): string {
  return [record.workspace, record.class, record.model, record.billable].join('|');
}

function addWork(a: Work, b: Work): Work {
  return {
    inputTokens: a.inputTokens + b.inputTokens,
    outputTokens: a.outputTokens + b.outputTokens,
    cachedTokens: a.cachedTokens + b.cachedTokens,
  };
}

/** Usage of the open window, with the sequence up to which each meter has been counted. @public */
export class Usage {
  #lines = new Map<string, UsageLine>();

  #marks = new Map<IncarnationId, number>();

  get lines(): UsageLine[] {
    return [...this.#lines.values()];
  }

  markOf(incarnation: IncarnationId): number {
    return this.#marks.get(incarnation) ?? 0;
  }

  /** Counts the records of a batch that have not been counted before. */
  add(batch: MeterBatch): void {
    let mark = this.markOf(batch.incarnation);
    for (const record of batch.records) {
      if (record.sequence <= mark) continue;
      mark = record.sequence;
      this.#count(record);
    }
    this.#marks.set(batch.incarnation, mark);
  }

  toJSON(): { lines: [string, UsageLine][]; marks: [IncarnationId, number][] } {
    return { lines: [...this.#lines], marks: [...this.#marks] };
  }

  restore(state: ReturnType<Usage['toJSON']>): void {
    this.#lines = new Map(state.lines);
    this.#marks = new Map(state.marks);
  }

  #count(record: MeterRecord): void {
    const key = lineKey(record);
    const { workspace, model, billable, work } = record;
    const line = this.#lines.get(key);
    this.#lines.set(key, {
      workspace,
      class: record.class,
      model,
      billable,
      requests: (line?.requests ?? 0) + 1,
      work: line ? addWork(line.work, work) : work,
    });
  }
}
