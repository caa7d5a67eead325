import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import type { JournalRecord } from '@berylwood/base';
import {
  filterRecords,
  mergeRecords,
  parseRecords,
  renderHtml,
  renderText,
  type Filter,
} from '@berylwood/timeline';
import { Command } from 'commander';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';

interface TimelineOptions extends Filter {
  readonly json?: boolean;
  readonly html?: string;
}

/** Reads a log file, or fetches the latest events of a process from its admin address. */
async function readSource(source: string): Promise<JournalRecord[]> {
  if (existsSync(source)) return parseRecords(readFileSync(source, 'utf8'));
  if (!/:\d+$/.test(source)) {
    throw new CommandError(
      ExitCode.InvalidFile,
      `${source}: neither an existing file nor an IP:PORT address`,
    );
  }
  try {
    const response = await fetch(`http://${source}/timeline`);
    return parseRecords(await response.text());
  } catch (error) {
    const reason = (error as Error).message;
    throw new CommandError(
      ExitCode.Unreachable,
      `cannot fetch the timeline from ${source}: ${reason}`,
    );
  }
}

async function showTimeline(sources: string[], options: TimelineOptions): Promise<void> {
  const logs = await Promise.all(sources.map(readSource));
  const records = filterRecords(mergeRecords(logs), options);
  if (options.html) {
    writeFileSync(options.html, renderHtml(records, 'berylwood timeline'));
    process.stdout.write(`${records.length} events in ${options.html}\n`);
  } else if (options.json) process.stdout.write(`${JSON.stringify(records)}\n`);
  else process.stdout.write(`${renderText(records)}\n`);
}

/** Creates the command `timeline`. @internal */
export function timelineCommand(): Command {
  return new Command('timeline')
    .description('events of several processes in causal order')
    .argument('<sources...>', 'log files, or administrators’ addresses of running processes')
    .option('--request <id>', 'only the events of one request')
    .option('--workspace <name>', 'only the events of one workspace')
    .option('--change <id>', 'only the events of one change')
    .option('--endpoint <name>', 'only events that name this endpoint')
    .option('--process <name>', 'only events of one process')
    .option('--json', 'print JSON')
    .option('--html <file>', 'write an HTML page')
    .action(showTimeline);
}
