import { defineConfig } from "vitest/config";

export const TEST_TIMEOUT_MS = 60_000;
/**
 * Start the real program and check its memory, which they do apart from other
 * tests: after them, one file at a time.
 */
const PROCESS_TESTS = [
  "packages/node/test/unfinished-bodies.test.ts",
  "platform/test/unfinished-bodies.test.ts",
];

export default defineConfig({
  resolve: { conditions: ["source"] },
  ssr: { resolve: { conditions: ["source"] } },
  test: {
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    // The module build of clipanion imports a folder, which only a bundler
    // resolves.
    server: { deps: { inline: ["clipanion"] } },
    projects: [
      {
        extends: true,
        test: {
          name: "modules",
          include: [
            "packages/*/test/**/*.test.ts",
            "platform/test/**/*.test.ts",
            "stand-ins/test/**/*.test.ts",
            "bench/test/**/*.test.ts",
          ],
          exclude: PROCESS_TESTS,
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "processes",
          include: PROCESS_TESTS,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
