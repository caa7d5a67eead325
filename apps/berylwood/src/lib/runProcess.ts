import { statSync } from 'node:fs';
import { Failure, Journal, Metrics, SystemTimer, baseEvents, type Timer } from '@berylwood/base';
import { createIncarnationId, type Settings } from '@berylwood/schema';
import pino from 'pino';
import { CommandError } from './CommandError';
import { ExitCode } from './ExitCode';
import { createRoles, type Reloadable } from './createRoles';
import { sighupHandler } from './sighupHandler';
import { readSettings } from './readSettings';

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

/** Resolves on the first signal to stop; a second one ends the process at once. */
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

/** Most bytes of log lines that wait for a slow reader; further lines are dropped. */
const MAX_BUFFERED_LOG_BYTES = 4 * 1024 * 1024;

/** Bytes of log lines written together, and the longest time that they wait. */
const LOG_BATCH_BYTES = 8 * 1024;
const LOG_FLUSH_INTERVAL_MS = 200;

/** Interval at which a changed settings file is looked for, in milliseconds. */
const SETTINGS_POLL_MS = 1000;

function createDestination(log: Settings['log'], timer: Timer): pino.DestinationStream | undefined {
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

/** Reads the settings again when the file changes or a hang-up signal says so. */
function watchSettings(
  file: string,
  reloadable: readonly Reloadable[],
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
 * Runs the roles of a settings file until a signal, then shuts them down gracefully.
 * @throws CommandError when the roles can not start or fail for good.
 * @internal
 */
export async function runProcess(file: string): Promise<void> {
  const settings = readSettings(file);
  const timer = new SystemTimer();
  const incarnation = createIncarnationId();
  const { name, shutdownLimitMs } = settings.process;
  const destination = createDestination(settings.log, timer);
  const { level } = settings.log;
  const journal = new Journal({ process: name, incarnation, timer, level, destination });
  const metrics = new Metrics();
  // The delay of the event loop is sampled by a timer, which costs a small instance too much.
  if (!settings.gateway) metrics.collectProcess();
  const stopped = waitForStopSignal();
  const context = { timer, journal, metrics, incarnation };
  const { tree, reloadable } = await createRoles(settings, context);
  await tree.start().catch((error: unknown) => {
    throw toCommandError(error);
  });
  journal.record(baseEvents.processStarted, { name });
  if (reloadable.length > 0) watchSettings(file, reloadable, context);
  const failed = tree.run();
  await Promise.race([stopped, failed]).catch((error: unknown) => {
    throw toCommandError(error);
  });
  journal.record(baseEvents.processStopping, { name });
  timer.after(shutdownLimitMs, () => process.exit(ExitCode.Fault));
  await tree.stop();
  journal.record(baseEvents.processStopped, { name });
  process.exit(ExitCode.Done);
}
