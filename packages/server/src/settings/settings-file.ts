/**
 * Reads the two settings files and validates them against their schemas. Any fault in a file is thrown as a `SettingsError`
 * that names the file.
 */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { z } from 'zod';
import { errorMessage, systemErrorCode } from '../error-message.js';
import { SettingsError } from './settings-error.js';

/** Takes the place of the field in errors about the whole value, such as a wrong type. */
const WHOLE_FILE = 'file';

/**
 * Validates a value. Returns it with defaults filled in and without unknown fields; a schema may reject unknown fields instead.
 *
 * @param source the name of the file in errors
 * @throws SettingsError naming the first invalid field
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

/** Reads the platform's settings file, which is TOML. Throws a SettingsError if the file can't be read or parsed. */
export function parseToml(path: string): unknown {
  const text = readSettingsFile(path);
  try {
    return parse(text);
  } catch (error) {
    // The other lines of the parser's message show the position in the file.
    const [firstLine] = errorMessage(error).split('\n');
    throw new SettingsError({ source: path, field: null, reason: `not valid TOML: ${firstLine}`, cause: error });
  }
}

/** Reads the operators' file, which the build converts from HCL to JSON. Throws a SettingsError as `parseToml` does. */
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
