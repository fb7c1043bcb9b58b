/**
 * Exit codes of the `zinniahill` command.
 *
 * @module
 */

/** Exit codes by meaning. */
export const ExitCode = {
  /** The command succeeded. */
  success: 0,
  /** The command line, or a file that it names, is invalid. */
  usage: 1,
  /** The node refused the request, or its response was not usable. */
  refused: 2,
  /** Another version was published first. */
  conflict: 3,
  /** The node cannot be reached. */
  unreachable: 4,
  /** The awaited condition was not met in time. */
  timeout: 5,
  /** The file is valid, but the check has findings. */
  warnings: 6,
} as const;
/** Exit code of a command. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
