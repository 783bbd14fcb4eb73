import gts from 'gts';

export default [
  {ignores: ['dist/', 'target/', '**/gen/', 'node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
    },
  },
  {
    // A rejection that nothing handles ends the process, so work that is not awaited goes through runGuarded.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      '**/*_test.ts',
      '**/testing/**',
      'packages/{bench,test-utils,trials}/**',
    ],
    rules: {
      'no-void': 'error',
      '@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
      '@typescript-eslint/no-misused-promises': 'error',
    },
  },
  {
    files: ['eslint.config.js', 'vitest.config.ts', 'scripts/**'],
    rules: {'no-restricted-syntax': 'off', 'n/no-process-exit': 'off'},
  },
];
