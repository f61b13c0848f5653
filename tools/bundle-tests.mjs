/** Bundles each test file separately into target/test, from where node:test runs it. */
import { readdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

rmSync('target/test', { recursive: true, force: true });
const testFiles = readdirSync('test').filter((name) => name.endsWith('.test.ts'));
await build({
  entryPoints: testFiles.map((name) => `test/${name}`),
  outdir: 'target/test',
  outExtension: { '.js': '.mjs' },
  ...BUNDLE_OPTIONS,
});
