/**
 * Judges a run of the tests by its reports in the current folder; the argument
 * is the exit code of vitest. Tests that KNOWN-RED.txt lists may fail; an error
 * outside of a test may not.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const REPORT = ".vitest-result.json";
const ERRORS = ".vitest-errors.json";
const KNOWN_RED = "KNOWN-RED.txt";

const exitCode = Number(process.argv[2]);
const report = readJson(REPORT);
const errors = readJson(ERRORS);
const knownLines = existsSync(KNOWN_RED)
  ? readFileSync(KNOWN_RED, "utf8").split("\n")
  : [];
let unexpected = 0;
let passedOver = 0;

function readJson(file) {
  return existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) : undefined;
}

function isKnown(name) {
  return knownLines.some((line) => line.startsWith(`test ${name}: `));
}

function fail(title, details = []) {
  unexpected++;
  console.log(`failed: ${title}`);
  console.log(details.join("\n"));
}

function judgeFile({ name, status, message, assertionResults }) {
  const failed = assertionResults.filter(({ status }) => status === "failed");
  if (status === "failed" && failed.length === 0) {
    fail(`${name} could not be loaded or cleaned up`, [message]);
  }
  for (const { fullName, failureMessages } of failed) {
    if (isKnown(fullName)) {
      passedOver++;
      console.log(`known red: ${fullName}`);
    } else {
      fail(fullName, failureMessages);
    }
  }
}

report?.testResults.forEach(judgeFile);
errors?.forEach((error) => fail("an error outside of a test", [error]));
if (report === undefined || errors === undefined) {
  fail("the run ended before it wrote its reports");
} else if (exitCode !== 0 && passedOver + unexpected === 0) {
  fail(`vitest ended with ${exitCode}, for no reason that its reports name`);
}
const passed = report?.numPassedTests ?? 0;
console.log(`${passedOver} known red tests were passed over`);
console.log(`${passed} passed, ${unexpected} failed`);
process.exitCode = unexpected > 0 || passed === 0 ? 1 : 0;
