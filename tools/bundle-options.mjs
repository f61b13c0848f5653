/**
 * Options for bundling tests and measurements: each entry point into one file that Node runs directly.
 *
 * @satisfies {import('esbuild').BuildOptions}
 */
export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: /** @type {const} */ ('node'),
  format: /** @type {const} */ ('esm'),
  target: 'node20',
  banner: {
    js: "import { createRequire as archpostRequire } from 'node:module'; const require = archpostRequire(import.meta.url);",
  },
  logLevel: /** @type {const} */ ('warning'),
};
