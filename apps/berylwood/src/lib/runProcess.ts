import { Failure, Journal, Metrics, SystemTimer, baseEvents } from '@berylwood/base';
import { controlCodes } from '@berylwood/control';
import { createIncarnationId, type Settings } from '@berylwood/schema';
import pino from 'pino';
import { CommandError } from './CommandError';
import { ExitCode } from './codes';
import { createRoles } from './createRoles';

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

function startError(error: unknown): CommandError {
  if (error instanceof Failure && error.code === controlCodes.dataFolderUnusable) {
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
function nextSignal(): Promise<void> {
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

/**
 * Runs the roles of the settings until a signal, then shuts them down gracefully.
 * @throws CommandError when the roles can not start or fail for good.
 * @internal
 */
export async function runProcess(settings: Settings): Promise<void> {
  const timer = new SystemTimer();
  const incarnation = createIncarnationId();
  const { name, shutdownLimitMs } = settings.process;
  const destination = settings.log.file
    ? pino.destination({ dest: settings.log.file, sync: false, mkdir: true })
    : undefined;
  const { level } = settings.log;
  const journal = new Journal({ process: name, incarnation, timer, level, destination });
  const metrics = new Metrics();
  metrics.collectProcess();
  const stopped = nextSignal();
  const tree = createRoles(settings, { timer, journal, metrics, incarnation });
  await tree.start().catch((error: unknown) => {
    throw startError(error);
  });
  journal.record(baseEvents.processStarted, { name });
  const failed = tree.run();
  await Promise.race([stopped, failed]).catch((error: unknown) => {
    throw startError(error);
  });
  journal.record(baseEvents.processStopping, { name });
  timer.after(shutdownLimitMs, () => process.exit(ExitCode.Fault));
  await tree.stop();
  journal.record(baseEvents.processStopped, { name });
  process.exit(ExitCode.Done);
}
