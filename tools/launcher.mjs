import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

/** The bundle, by what is kept compiled of it if there is any, and what runs it. */
export function prepare(dir) {
  const file = join(dir, 'archpost.cjs');
  let cachedData;
  try {
    cachedData = readFileSync(join(dir, 'archpost.cache'));
  } catch {
    // Not kept: compiled anew.
  }
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, 'utf8')}\n})`;
  const script = new Script(source, { filename: file, cachedData });
  const module = { exports: {} };
  return { script, run: () => script.runInThisContext()(module.exports, createRequire(file), module, file, dir) };
}

const here = fileURLToPath(import.meta.url);
if (here.endsWith('archpost.mjs')) prepare(dirname(here)).run();
