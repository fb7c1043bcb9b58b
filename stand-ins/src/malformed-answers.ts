/**
 * Answers of a faulty upstream that are no HTTP responses.
 *
 * @module
 */

/** An answer whose head is malformed in one place. */
export interface MalformedAnswer {
  readonly name: string;
  readonly bytes: string;
}

/** RFC 9110, section 15: a status code is a number from 100 to 599. */
const INVALID_STATUS_CODES = [
  "000",
  "001",
  "099",
  "600",
  "999",
  "1000",
  "20",
  "2",
  "2 0",
  "-20",
  "+200",
  "2x0",
  "",
];
/**
 * Creates an answer for each kind of malformed head, with the body `1234`.
 * The header lines are sound ones that all of them hold.
 */
export function createMalformedAnswers(
  headerLines: readonly string[] = [],
): readonly MalformedAnswer[] {
  return INVALID_STATUS_CODES.map((code) => ({
    name: `the status ${JSON.stringify(code)}`,
    bytes: createBytes(`HTTP/1.1 ${code} OK`, [
      ...headerLines,
      "content-length: 4",
    ]),
  }));
}

function createBytes(statusLine: string, lines: readonly string[]): string {
  return [statusLine, ...lines, "", "1234"].join("\r\n");
}
