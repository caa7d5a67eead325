/**
 * SIGHUP requests a reload of the settings. The handler is installed when this module is loaded, before
 * all other modules, since the default action of the signal terminates the process.
 * @internal
 */
export const sighupHandler = {
  /** Called on each SIGHUP; does nothing until it is replaced. */
  onSignal: (): void => {},
};

process.on('SIGHUP', () => sighupHandler.onSignal());
