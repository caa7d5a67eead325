import { statSync } from 'node:fs';
import {
  Failure,
  Journal,
  Metrics,
  Supervisor,
  SystemTimer,
  baseEvents,
  type Timer,
} from '@berylwood/base';
import { createIncarnationId, type CommonSettings } from '@berylwood/schema';
import pino from 'pino';
import { AdminServer } from './AdminServer';
import { CommandError } from './CommandError';
import { ExitCode } from './ExitCode';
import type { ProcessContext } from './ProcessContext';
import type { Reloadable } from './Reloadable';
import { sighupHandler } from './sighupHandler';

/** What a process runs. @internal */
export interface ProcessPlan<Settings extends CommonSettings> {
  /** Whether to collect the metrics of Node.js, whose event-loop sampling uses CPU time. */
  readonly collectsProcessMetrics: (settings: Settings) => boolean;
  /** @throws CommandError if the file is invalid. */
  readonly readSettings: (file: string) => Settings;
  readonly addRoles: (
    tree: Supervisor,
    settings: Settings,
    context: ProcessContext,
  ) => Promise<Reloadable<Settings>[]> | Reloadable<Settings>[];
}

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

function toCommandError(error: unknown): CommandError {
  if (error instanceof Failure && error.code.name === 'dataFolderUnusable') {
    return new CommandError(ExitCode.DataFolder, error.message);
  }
  const { code, address, port, message } = error as NodeJS.ErrnoException & {
    address?: string;
    port?: number;
  };
  if (code === 'EADDRINUSE') {
    return new CommandError(ExitCode.AddressInUse, `address ${address}:${port} is in use`);
  }
  if (code === 'EACCES' || code === 'ENOENT' || code === 'ENOTDIR') {
    return new CommandError(ExitCode.DataFolder, `data folder: ${message}`);
  }
  return new CommandError(ExitCode.Fault, String(error));
}

/** Resolves on the first stop signal. A second one exits the process immediately. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    let count = 0;
    const onSignal = (): void => {
      count += 1;
      if (count > 1) process.exit(ExitCode.Fault);
      resolve();
    };
    for (const signal of SIGNALS) process.on(signal, onSignal);
  });
}

/** Maximum size of log lines buffered for a slow reader; further lines are dropped. */
const MAX_BUFFERED_LOG_BYTES = 4 * 1024 * 1024;

/** Minimum size of a batch of log lines before it is written. */
const LOG_BATCH_BYTES = 8 * 1024;

/** Maximum time that log lines are buffered. */
const LOG_FLUSH_INTERVAL_MS = 200;

/** Interval at which the settings file is checked for changes. */
const SETTINGS_POLL_MS = 1000;

function createDestination(
  log: CommonSettings['log'],
  timer: Timer,
): pino.DestinationStream | undefined {
  if (log.file) return pino.destination({ dest: log.file, sync: false, mkdir: true });
  if (!log.output) return undefined;
  const destination = pino.destination({
    dest: process.stdout.fd,
    sync: false,
    minLength: LOG_BATCH_BYTES,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  timer.every(LOG_FLUSH_INTERVAL_MS, () => destination.flush());
  return destination;
}

/** Reloads the settings when the file changes or the process receives SIGHUP. */
function watchSettings<Settings>(
  file: string,
  readSettings: (file: string) => Settings,
  reloadable: readonly Reloadable<Settings>[],
  { timer, journal }: { timer: Timer; journal: Journal },
): void {
  const readModifiedMs = (): number => statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
  let lastModifiedMs = readModifiedMs();
  const reload = (): void => {
    lastModifiedMs = readModifiedMs();
    try {
      const settings = readSettings(file);
      for (const role of reloadable) role.reload(settings);
    } catch (error) {
      journal.record(baseEvents.settingsRefused, { file, error: String(error) });
    }
  };
  sighupHandler.onSignal = reload;
  timer.every(SETTINGS_POLL_MS, () => {
    if (readModifiedMs() !== lastModifiedMs) reload();
  });
}

/**
 * Runs the roles in a settings file until a stop signal, then shuts them down gracefully.
 * @throws CommandError if the roles cannot start or fail permanently.
 * @internal
 */
export async function runProcess<Settings extends CommonSettings>(
  file: string,
  { readSettings, addRoles, collectsProcessMetrics }: ProcessPlan<Settings>,
): Promise<void> {
  const settings = readSettings(file);
  const timer = new SystemTimer();
  const incarnation = createIncarnationId();
  const { name, shutdownLimitMs } = settings.process;
  const destination = createDestination(settings.log, timer);
  const { level } = settings.log;
  const journal = new Journal({ process: name, incarnation, timer, level, destination });
  const metrics = new Metrics();
  if (collectsProcessMetrics(settings)) metrics.collectProcess();
  const stopSignal = waitForStopSignal();
  const context = { timer, journal, metrics, incarnation };
  // A restarted task cannot take over the connections of its predecessor, so only the failed task is
  // restarted (one-for-one).
  const tree = new Supervisor({ name, timer, journal });
  const reloadable = await addRoles(tree, settings, context);
  const { admin } = settings;
  if (admin) tree.add(() => new AdminServer(admin.listen, context));
  await tree.start().catch((error: unknown) => {
    throw toCommandError(error);
  });
  journal.record(baseEvents.processStarted, { name });
  if (reloadable.length > 0) watchSettings(file, readSettings, reloadable, context);
  const failed = tree.run();
  await Promise.race([stopSignal, failed]).catch((error: unknown) => {
    throw toCommandError(error);
  });
  journal.record(baseEvents.processStopping, { name });
  timer.after(shutdownLimitMs, () => process.exit(ExitCode.Fault));
  await tree.stop();
  journal.record(baseEvents.processStopped, { name });
  process.exit(ExitCode.Done);
}
