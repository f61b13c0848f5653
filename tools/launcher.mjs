/** Entry point of the service, copied to target/archpost.mjs: loads the bundle with its cached compiled code. */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

/**
 * Loads the bundle as a script, with its cached compiled code if that is valid for this Node and its flags. Returns the script
 * and a function that runs it.
 *
 * @param {string} directory where the bundle is
 * @returns {{ script: Script, run: () => void }}
 */
export function prepare(directory) {
  const file = join(directory, 'archpost.cjs');
  let cachedData;
  try {
    cachedData = readFileSync(join(directory, 'archpost.cache'));
  } catch {
    // No cached code: the bundle is compiled.
  }
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, 'utf8')}\n})`;
  const script = new Script(source, { filename: file, cachedData });
  const module = { exports: {} };
  return { script, run: () => script.runInThisContext()(module.exports, createRequire(file), module, file, directory) };
}

const here = fileURLToPath(import.meta.url);
if (here.endsWith('archpost.mjs')) prepare(dirname(here)).run();
