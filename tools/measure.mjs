// Runs a measurement of test/measure: `node tools/measure.mjs NAME [ARGUMENTS]`. None of them runs in CI.
import { spawnSync } from 'node:child_process';
import { buildSync } from 'esbuild';

const [name, ...args] = process.argv.slice(2);
const outfile = `target/measure/${name}.mjs`;
buildSync({
  entryPoints: [`test/measure/${name}.ts`],
  outfile,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  banner: {
    js: "import { createRequire as archpostRequire } from 'node:module'; const require = archpostRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
process.exit(spawnSync(process.execPath, [outfile, ...args], { stdio: 'inherit' }).status ?? 1);
