import { spawnSync } from "node:child_process";
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { afterEach, describe, expect, it } from "vitest";

const CI = resolve(import.meta.dirname, "../../.ci");
const VITEST = resolve(import.meta.dirname, "../../node_modules/.bin/vitest");
const TARGET = resolve(import.meta.dirname, "../../target");
const FAILURE = 'expect("seen").toBe("wanted");';
const REJECTION = 'setTimeout(() => { throw new Error("nobody waits"); }, 1);' +
  "await new Promise((resolve) => setTimeout(resolve, 50));";

const folders: string[] = [];

/** Runs a test with this body as CI does, and judges the run. */
function judge(body: string, knownRed = ""): { code: number; text: string } {
  // Vitest and its packages are found from a folder below the repository.
  mkdirSync(TARGET, { recursive: true });
  const folder = mkdtempSync(join(TARGET, "verdict-"));
  folders.push(folder);
  writeFileSync(
    join(folder, "sample.test.ts"),
    `import { expect, it } from "vitest";
     it("passes", () => {});
     it("sample", async () => { ${body} });`,
  );
  writeFileSync(join(folder, "vitest.config.ts"), "export default {};");
  writeFileSync(join(folder, "KNOWN-RED.txt"), knownRed);
  const run = spawnSync(VITEST, [
    "run",
    "--reporter=json",
    `--reporter=${CI}/unhandled-errors.mjs`,
    "--outputFile.json=.vitest-result.json",
  ], { cwd: folder, encoding: "utf8" });
  const verdict = spawnSync(process.execPath, [
    join(CI, "verdict.mjs"),
    String(run.status),
  ], { cwd: folder, encoding: "utf8" });
  return { code: verdict.status ?? -1, text: verdict.stdout };
}

afterEach(() => {
  folders.splice(0).forEach((folder) =>
    rmSync(folder, { recursive: true, force: true })
  );
});

describe("the verdict of CI on a run of tests", () => {
  describe("without a failed test", () => {
    it("is green", () => {
      expect(judge("")).toMatchObject({ code: 0 });
    });

    // Guards against a run that passes though an error was thrown outside of
    // a test.
    it("is red after an error outside of a test", () => {
      const { code, text } = judge(REJECTION);
      expect(code).toBe(1);
      expect(text).toContain("nobody waits");
    });

    it("is red if vitest ends with another code than 0 or wrote no report", () => {
      const folder = mkdtempSync(join(tmpdir(), "verdict-"));
      folders.push(folder);
      const { status, stdout } = spawnSync(process.execPath, [
        join(CI, "verdict.mjs"),
        "1",
      ], { cwd: folder, encoding: "utf8" });
      expect(status).toBe(1);
      expect(stdout).toContain("before it wrote its reports");
    });
  });

  describe("with a failed test", () => {
    it("is red if the test is not known to be red", () => {
      expect(judge(FAILURE)).toMatchObject({ code: 1 });
    });

    it("is green if it is known to be red, unless an error came as well", () => {
      const known = "test sample: `npx vitest`; seen. Issue 1.\n";
      expect(judge(FAILURE, known)).toMatchObject({ code: 0 });
      expect(judge(`${REJECTION} ${FAILURE}`, known))
        .toMatchObject({ code: 1 });
    });
  });

  describe("in the script of CI", () => {
    it("uses the exit code and all reports", () => {
      const script = readFileSync(join(CI, "run"), "utf8");
      expect(script).toContain("--reporter=./.ci/unhandled-errors.mjs");
      expect(script).toContain('node .ci/verdict.mjs "$tests"');
      expect(script).not.toContain("|| true");
    });
  });
});
