// How tests and measurements are bundled: each file by itself, to be run by node as it is.
export const BUNDLING = {
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  banner: {
    js: "import { createRequire as archpostRequire } from 'node:module'; const require = archpostRequire(import.meta.url);",
  },
  logLevel: 'warning',
};
