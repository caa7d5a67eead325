/**
 * Hang-up signals ask for a reload. The handler is set when this module is loaded, before all
 * others, since the default action of the signal ends the process.
 * @internal
 */
export const sighupHandler = {
  /** Called on each signal. */
  onSignal: (): void => {},
};

process.on('SIGHUP', () => sighupHandler.onSignal());
