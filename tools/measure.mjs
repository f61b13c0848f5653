// Runs a measurement of test/measure: `node tools/measure.mjs NAME [ARGUMENTS]`. None of them runs in CI.
import { spawnSync } from 'node:child_process';
import { buildSync } from 'esbuild';
import { BUNDLING } from './bundle-options.mjs';

const [name, ...args] = process.argv.slice(2);
const outfile = `target/measure/${name}.mjs`;
buildSync({
  entryPoints: [`test/measure/${name}.ts`],
  outfile,
  ...BUNDLING,
});
process.exit(spawnSync(process.execPath, [outfile, ...args], { stdio: 'inherit' }).status ?? 1);
