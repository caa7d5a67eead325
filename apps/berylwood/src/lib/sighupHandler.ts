/**
 * Handles SIGHUP, which requests a reload of the settings. It has to be installed before anything else
 * runs, since the default action of the signal terminates the process.
 * @internal
 */
export const sighupHandler = {
  /** Called on each SIGHUP; does nothing until it is replaced. */
  onSignal: (): void => {},

  install(): void {
    process.on('SIGHUP', () => sighupHandler.onSignal());
  },
};
