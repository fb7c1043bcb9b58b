import { defineConfig } from "vitest/config";

export const TEST_TIMEOUT_MS = 60_000;

export default defineConfig({
  resolve: { conditions: ["source"] },
  ssr: { resolve: { conditions: ["source"] } },
  test: {
    include: [
      "packages/*/test/**/*.test.ts",
      "platform/test/**/*.test.ts",
      "stand-ins/test/**/*.test.ts",
      "bench/test/**/*.test.ts",
    ],
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    maxWorkers: 4,
    // The module build of clipanion imports a folder, which only a bundler
    // resolves.
    server: { deps: { inline: ["clipanion"] } },
  },
});
