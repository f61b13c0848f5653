// Bundles the service into target/archpost.mjs (a start is charged to a small share of a
// core, and one file loads far faster than a tree of modules), and the operators' HCL into
// target/operator.json (its parser is too heavy to load at each start).
import { readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import hcl from 'hcl2-parser';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
await build({
  entryPoints: ['packages/server/src/index.ts'],
  outfile: 'target/archpost.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  define: { ARCHPOST_VERSION: JSON.stringify(version) },
  banner: {
    js: "import { createRequire as archpostRequire } from 'node:module'; const require = archpostRequire(import.meta.url);",
  },
  logLevel: 'warning',
});

const [settings, error] = hcl.parseToObject(readFileSync('deploy/archpost.hcl', 'utf8'));
if (error) {
  console.error(`deploy/archpost.hcl: ${error}`);
  process.exit(2);
}
writeFileSync('target/operator.json', JSON.stringify(settings));
