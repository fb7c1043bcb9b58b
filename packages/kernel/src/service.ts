/** What the kernel asks of every service. */
export interface Service {
  /** Begins the service's tasks; called once, after its needs have started. */
  start?(): Promise<void> | void;
  /** Ends the service's tasks; called once, before its needs stop. */
  stop?(): Promise<void> | void;
  /** Returns the service's state for the process's state dump. */
  dump?(): unknown;
}
