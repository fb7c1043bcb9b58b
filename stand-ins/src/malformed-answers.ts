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

const STATUS_LINE = "HTTP/1.1 200 OK";
const BODY = "1234";
const LENGTH_LINE = "content-length: 4";
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
/** RFC 9110, sections 5.1 and 8.6, and RFC 9112, section 5. */
const INVALID_HEADER_LINES: Readonly<Record<string, string>> = {
  "a blank before the colon": "x-name : value",
  "a tab before the colon": "x-name\t: value",
  "a blank within a name": "x name: value",
  "a tab within a name": "x\tname: value",
  "a blank before a name": " x-name: value",
  "a NUL within a name": "x\x00name: value",
  "a control byte 01 within a name": "x\x01name: value",
  "a control byte 0b within a name": "x\x0bname: value",
  "a control byte 7f within a name": "x\x7fname: value",
  "a control byte before a name": "\x01x-name: value",
  "a control byte before the colon": "x-name\x01: value",
  "an empty name": ": value",
  "no colon": "x-name",
  "brackets within a name": "x(name): value",
  "a NUL within a value": "x-name: va\x00lue",
  "a control byte 01 within a value": "x-name: va\x01lue",
  "a control byte 7f within a value": "x-name: va\x7flue",
  "a blank in the name of the length": "content-length : 4",
  "a control byte in the name of the length": "content-length\x01: 4",
  "a blank in the name of the coding": "transfer-encoding : chunked",
  "a signed length": "content-length: +4",
  "a negative length": "content-length: -4",
  "a length with a blank": "content-length: 4 4",
  "a length that is no number": "content-length: 0x4",
};

/**
 * Creates an answer for each kind of malformed head, with a body of four
 * digits. All heads hold the given header lines, which are sound.
 */
export function createMalformedAnswers(
  headerLines: readonly string[] = [],
): readonly MalformedAnswer[] {
  const statuses = INVALID_STATUS_CODES.map((code) => ({
    name: `the status ${JSON.stringify(code)}`,
    bytes: createBytes(`HTTP/1.1 ${code} OK`, [...headerLines, LENGTH_LINE]),
  }));
  const headers = Object.entries(INVALID_HEADER_LINES).flatMap((
    [name, line],
  ) => {
    const length = line.startsWith("content-length") ? [] : [LENGTH_LINE];
    return [
      {
        name: `${name}, in the first line`,
        bytes: createBytes(STATUS_LINE, [line, ...length, ...headerLines]),
      },
      {
        name: `${name}, in the last line`,
        bytes: createBytes(STATUS_LINE, [...headerLines, ...length, line]),
      },
    ];
  });
  return [...statuses, ...headers];
}

function createBytes(statusLine: string, lines: readonly string[]): string {
  return [statusLine, ...lines, "", BODY].join("\r\n");
}
