/**
 * Reads the two settings files and validates them against their schemas. Whatever is wrong with a file becomes a
 * `SettingsError` that names it.
 */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { z } from 'zod';
import { errorMessage, systemErrorCode } from '../error-message.js';
import { SettingsError } from './settings-error.js';

/** Named in place of a field where the value as a whole, not one of its fields, has the wrong type. */
const WHOLE_FILE = 'file';

/**
 * The value as its schema describes it, defaults filled in and unknown fields dropped, unless the schema forbids them.
 *
 * @param source names the file in errors
 * @throws SettingsError that names the first field at fault
 */
export function validate<Value>(source: string, schema: z.ZodType<Value>, value: unknown): Value {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new SettingsError({
    source,
    field: issue?.path.join('.') || WHOLE_FILE,
    reason: issue?.message ?? 'invalid',
    cause: result.error,
  });
}

/** The platform's settings file, which is TOML. Throws a SettingsError if it can't be read or parsed. */
export function parseToml(path: string): unknown {
  const text = readSettingsFile(path);
  try {
    return parse(text);
  } catch (error) {
    // The parser's other lines show the place in the file.
    const [firstLine] = errorMessage(error).split('\n');
    throw new SettingsError({ source: path, field: null, reason: `not valid TOML: ${firstLine}`, cause: error });
  }
}

/** The operators' settings, which the build turns from HCL into JSON. Throws a SettingsError as `parseToml` does. */
export function parseOperatorJson(path: string): unknown {
  const text = readSettingsFile(path);
  try {
    return JSON.parse(text);
  } catch (error) {
    const reason = 'not valid JSON (the build makes it of the HCL file)';
    throw new SettingsError({ source: path, field: null, reason, cause: error });
  }
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const reason = systemErrorCode(error) === 'ENOENT' ? 'no such file' : errorMessage(error);
    throw new SettingsError({ source: path, field: null, reason, cause: error });
  }
}
