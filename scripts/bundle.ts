import type * as esbuild from 'esbuild'

/** esbuild options that bundle a program into a single file. */
export const options: esbuild.BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  // Modules that resolve files relative to their own URL resolve them relative to the executable.
  banner: { js: 'const bundleUrl = require(\'node:url\').pathToFileURL(process.execPath).href' },
  define: {
    'import.meta.url': 'bundleUrl',
    // Prevents ws from loading optional native modules, which a bundle cannot contain.
    'process.env.WS_NO_BUFFER_UTIL': '"1"',
    'process.env.WS_NO_UTF_8_VALIDATE': '"1"'
  }
}
