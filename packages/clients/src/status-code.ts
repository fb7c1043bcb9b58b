/**
 * Status codes of HTTP.
 *
 * @module
 */

/** RFC 9110, section 15; parsers accept all numbers of three digits. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a response may have this status code. */
export function isStatusCode(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
