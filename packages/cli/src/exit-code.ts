/**
 * Exit codes of the command.
 *
 * @module
 */

/** What the command's exit code means. */
export const ExitCode = {
  /** It was done. */
  success: 0,
  /** The command line, or the file it names, is wrong. */
  usage: 1,
  /** The node refused. */
  refused: 2,
  /** Somebody else published first. */
  conflict: 3,
  /** The node cannot be reached. */
  unreachable: 4,
  /** The wait ended before what was waited for came about. */
  timeout: 5,
} as const;
/** What the command's exit code means. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
