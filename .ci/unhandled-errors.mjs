/**
 * A vitest reporter that writes the errors thrown outside of tests, which the
 * JSON report leaves out.
 *
 * @module
 */
import { writeFileSync } from "node:fs";

const FILE = ".vitest-errors.json";

export default class UnhandledErrors {
  onTestRunEnd(_modules, errors) {
    const messages = errors.map(({ stack, message }) => stack ?? message);
    writeFileSync(FILE, JSON.stringify(messages));
  }
}
