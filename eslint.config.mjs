import { configs, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

// Prettier determines the layout, so the rules of the stylistic plugin are disabled.
const withoutLayoutRules = (config) => ({
  ...config,
  rules: Object.fromEntries(
    Object.entries(config.rules ?? {}).filter(([name]) => !name.startsWith('@stylistic/')),
  ),
});

export default [
  { ignores: ['dist/', 'target/', 'node_modules/', 'src/gen/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...[...configs.base.recommended, ...configs.node.recommended, ...configs.base.typescript].map(
    withoutLayoutRules,
  ),
  {
    files: ['**/*.ts', '**/*.mjs'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.mjs'] } },
    },
    rules: {
      // Named exports only, also for modules with a single export.
      'import-x/prefer-default-export': 'off',
      // Node runs the TypeScript sources directly, so imports name the real file extension.
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      // Stand-ins, benchmarks, scripts and tests may use development dependencies.
      'import-x/no-extraneous-dependencies': [
        'error',
        {
          devDependencies: [
            'playground/**',
            'bench/**',
            'scripts/**',
            '**/__tests__/**',
            '*.config.mjs',
          ],
        },
      ],
      // Retries and rolling changes await sequentially in loops.
      'no-await-in-loop': 'off',
      // `for … of` and `continue` are more readable than callbacks in control flow.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // `void promise` marks a promise whose result is handled elsewhere.
      'no-void': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', package: 'node:test', name: 'test' }] },
      ],
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      // The rule does not recognise that classes created by modern-errors extend Error.
      '@typescript-eslint/only-throw-error': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: [
      'playground/**',
      'bench/**',
      'scripts/**',
      'src/node/cli*.ts',
      'src/node/operator/cli*.ts',
    ],
    rules: {
      'no-console': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
