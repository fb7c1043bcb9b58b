/** The lifecycle of a service; each method is optional. */
export interface Service {
  /** Starts the service's tasks, once, after its dependencies have started. */
  start?(): Promise<void> | void;
  /** Stops the service's tasks, once, before its dependencies stop. */
  stop?(): Promise<void> | void;
  /** Returns the service's state for the process's state dump. */
  dump?(): unknown;
}
