/**
 * Bundles the service, since one file loads far faster than a tree of modules and a start has only a small share of a core.
 * Caches its compiled code, and converts the operators' HCL to target/operator.json, since the HCL parser is too heavy to load
 * at each start.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import hcl from 'hcl2-parser';
import { parse } from 'smol-toml';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
await build({
  entryPoints: ['packages/server/src/index.ts'],
  outfile: 'target/archpost.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  define: { ARCHPOST_VERSION: JSON.stringify(version), 'import.meta.url': 'archpostUrl' },
  banner: { js: "const archpostUrl = require('node:url').pathToFileURL(__filename).href;" },
  logLevel: 'warning',
});

// Compiled by Node with the flags of production: cached code is valid only for the flags that it was compiled with.
writeFileSync('target/archpost.mjs', readFileSync('tools/launcher.mjs'));
const { run } = parse(readFileSync('deploy/service.toml', 'utf8'));
const flags = String(run)
  .split(' ')
  .filter((word) => word.startsWith('--') && word !== '--config');
execFileSync(process.execPath, [...flags, 'tools/compile-bundle.mjs'], { stdio: ['ignore', 'ignore', 'inherit'] });

const [settings, error] = hcl.parseToObject(readFileSync('deploy/archpost.hcl', 'utf8'));
if (error) {
  console.error(`deploy/archpost.hcl: ${error}`);
  process.exit(2);
}
writeFileSync('target/operator.json', JSON.stringify(settings));
