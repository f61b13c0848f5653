/**
 * Bundles the core of the production version from the repository's history, for the upgrade tests:
 *
 *     node tools/production-core.mjs
 *
 * deploy/service.toml names the commit; the names of packages and exports are those of that commit. The result is checked in to
 * test/upgrade, so that tests need no history. It is never edited by hand.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const { production } = parse(readFileSync('deploy/service.toml', 'utf8'));
mkdirSync('target', { recursive: true });
const sources = mkdtempSync('target/production-');
try {
  const archive = execFileSync('git', ['archive', String(production), 'packages/wire', 'packages/core'], { maxBuffer: 1 << 26 });
  execFileSync('tar', ['x', '-C', sources], { input: archive });
  writeFileSync(
    join(sources, 'entry.ts'),
    "export { Core } from './packages/core/src/index.js';\nexport { decodePeer, encodePeer } from './packages/wire/src/index.js';\n",
  );
  await build({
    entryPoints: [join(sources, 'entry.ts')],
    outfile: 'test/upgrade/production-core.mjs',
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    minifyWhitespace: true,
    alias: { '@archpost/wire': `./${join(sources, 'packages/wire/src/index.ts')}` },
    tsconfigRaw: JSON.parse(readFileSync('tsconfig.base.json', 'utf8')),
    external: ['zod', 'protobufjs', 'protobufjs/*', '@msgpack/msgpack'],
    banner: { js: `// The core of ${production}, made by tools/production-core.mjs. Not to be edited.` },
    logLevel: 'warning',
  });
} finally {
  rmSync(sources, { recursive: true, force: true });
}
