/** The program that is started, as target/archpost.mjs: loads the bundle by its cached compiled code. */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

/**
 * The bundle as a script, by its cached compiled code if that fits this Node and its flags, and what runs it.
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
    // Not cached: compiled anew.
  }
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, 'utf8')}\n})`;
  const script = new Script(source, { filename: file, cachedData });
  const module = { exports: {} };
  return { script, run: () => script.runInThisContext()(module.exports, createRequire(file), module, file, directory) };
}

const here = fileURLToPath(import.meta.url);
if (here.endsWith('archpost.mjs')) prepare(dirname(here)).run();
