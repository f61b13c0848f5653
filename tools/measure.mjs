/** Runs a measurement of test/measure: `node tools/measure.mjs NAME [ARGUMENTS]`. None of them runs in CI. */
import { spawnSync } from 'node:child_process';
import { buildSync } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

const [name, ...measurementArguments] = process.argv.slice(2);
const outfile = `target/measure/${name}.mjs`;
buildSync({
  entryPoints: [`test/measure/${name}.ts`],
  outfile,
  ...BUNDLE_OPTIONS,
});
process.exit(spawnSync(process.execPath, [outfile, ...measurementArguments], { stdio: 'inherit' }).status ?? 1);
