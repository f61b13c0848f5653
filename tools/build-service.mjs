/**
 * Bundles the service (a start is charged to a small share of a core, and one file loads far faster than a tree of modules),
 * caches its compiled code, and turns the operators' HCL into target/operator.json (its parser is too heavy to load at each
 * start).
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

// Compiled by a Node with the flags of production: cached code fits no others.
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
