/**
 * Keeps the bundle's compiled code beside it, with all functions that loading it runs: of some 130 ms of a start, more than
 * half went into compiling.
 */
import { rmSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { prepare } from './launcher.mjs';

rmSync('target/archpost.cache', { force: true });
process.argv = [process.execPath, 'archpost', '--help'];
const { script, run } = prepare(resolve('target'));
process.on('exit', () => writeFileSync('target/archpost.cache', script.createCachedData()));
run();
