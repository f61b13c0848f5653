import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { z } from 'zod';
import { SettingsError } from './settings-error.js';

export function validate<T>(name: string, schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new SettingsError(`${name}: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`);
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${path}: ${(error as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (error as Error).message}`,
    );
  }
}

export function parseToml(path: string): unknown {
  try {
    return parse(readSettingsFile(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid TOML: ${(error as Error).message.split('\n')[0]}`);
  }
}

export function parseOperatorJson(path: string): unknown {
  try {
    return JSON.parse(readSettingsFile(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid JSON (the build makes it of the HCL file)`);
  }
}
