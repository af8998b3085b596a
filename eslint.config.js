import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, env: ['node', 'mocha'], ignores: ['**/dist/**', '**/out/**', 'target/**'] }),
  {
    files: ['**/*.test.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  },
  {
    rules: {
      // A schema and the type derived from it share one name; the compiler itself reports real redeclarations.
      '@typescript-eslint/no-redeclare': 'off',
      'no-console': 'error',
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
      'max-lines': ['error', { max: 400, skipBlankLines: true }]
    }
  }
]
