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
    // A test that starts seven daemons in its process needs about half of a core until they serve.
    maxWorkers: 3,
    testTimeout: 30_000,
    hookTimeout: 30_000,
  },
});
