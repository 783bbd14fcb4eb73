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
    files: ['eslint.config.js', 'vitest.config.ts', 'scripts/**'],
    rules: {'no-restricted-syntax': 'off', 'n/no-process-exit': 'off'},
  },
];
