import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "src/**/*_test.ts",
      "platform/**/*_test.ts",
      "fakes/**/*_test.ts",
      "bench/**/*_test.ts",
      "tests/**/*_test.ts",
      "tools/**/*_test.ts",
    ],
    setupFiles: ["tests/support/fast_check_seed.ts"],
    pool: "forks",
    maxWorkers: 4,
    testTimeout: 30_000,
    hookTimeout: 30_000,
  },
});
