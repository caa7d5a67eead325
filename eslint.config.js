import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Limits that keep modules and functions small. */
const MAX_FILE_LINES = 350;
const MAX_FUNCTION_LINES = 60;

export default [
  { ignores: ['**/node_modules', '**/build', '**/target'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts', '**/*.js', '**/*.mjs'],
    rules: {
      // Named exports only: one public face per package, names stay the same where they are used.
      'import-x/prefer-default-export': 'off',
      'import-x/no-rename-default': 'off',
      // The workspace root holds the dependencies of development.
      'import-x/no-extraneous-dependencies': 'off',
      // Airbnb forbids for-of for the sake of old browsers; Node.js 20 needs no runtime for it.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Sequential steps are intended where they are written.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // neverthrow's unwrapping in tests has this name.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      'no-param-reassign': ['error', { props: false }],
      // Implementations of abstract behaviour need not use `this`.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'max-classes-per-file': ['error', 2],
      'max-lines': ['error', { max: MAX_FILE_LINES, skipBlankLines: false }],
      'max-lines-per-function': ['error', { max: MAX_FUNCTION_LINES, skipComments: true }],
    },
  },
  {
    files: ['scripts/**', 'deploy/**'],
    // Node.js resolves modules of its own by their full file names.
    rules: { 'import-x/extensions': 'off' },
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        fetch: 'readonly',
        setTimeout: 'readonly',
        __dirname: 'readonly',
      },
    },
  },
  {
    files: ['**/*.test.ts', 'features/**', 'packages/testing/**', 'scripts/**'],
    rules: { 'max-lines-per-function': 'off', 'no-console': 'off' },
  },
];
