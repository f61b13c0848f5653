/**
 * How tests and measurements are bundled: each file by itself, to be run by Node as it is.
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
