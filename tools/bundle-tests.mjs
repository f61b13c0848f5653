// Bundles each test file by itself into target/test, where node:test runs it.
import { readdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { BUNDLING } from './bundle-options.mjs';

rmSync('target/test', { recursive: true, force: true });
const files = readdirSync('test').filter((f) => f.endsWith('.test.ts'));
await build({
  entryPoints: files.map((f) => `test/${f}`),
  outdir: 'target/test',
  outExtension: { '.js': '.mjs' },
  ...BUNDLING,
});
