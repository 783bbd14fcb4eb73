import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*_test.ts', 'platform/src/**/*_test.ts'],
    globalSetup: ['scripts/build_platform_for_tests.mjs'],
    testTimeout: 120_000,
    fileParallelism: true,
    maxWorkers: 4,
  },
});
