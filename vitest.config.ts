import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*_test.ts', 'platform/src/**/*_test.ts'],
    testTimeout: 120_000,
    fileParallelism: true,
    maxWorkers: 4,
  },
});
