import type * as esbuild from 'esbuild'

/** How a program is bundled into one file of its own. */
export const options: esbuild.BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  // Modules that look for files beside them look beside the executable.
  banner: { js: 'const bundleUrl = require(\'node:url\').pathToFileURL(process.execPath).href' },
  define: {
    'import.meta.url': 'bundleUrl',
    // Without these, ws looks for optional native modules, which a bundle cannot hold.
    'process.env.WS_NO_BUFFER_UTIL': '"1"',
    'process.env.WS_NO_UTF_8_VALIDATE': '"1"'
  }
}
