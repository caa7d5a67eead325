/** A role that can apply changed settings while it runs. @internal */
export interface Reloadable<Settings> {
  reload(settings: Settings): void;
}
