import { z } from 'zod';

export interface StoredKey {
  key: string;
  value: unknown;
  revision: number;
}
export interface KeyChange {
  key: string;
  /** undefined: removed */
  value: unknown;
  revision: number;
}

const keyPageOnWire = z.object({
  rows: z.array(z.object({ k: z.string(), v: z.unknown().optional(), stamp: z.number() })),
  has_next: z.boolean().nullish(),
  ledger: z.number(),
});
export function parseRows(body: Record<string, unknown>): { rows: StoredKey[]; more: boolean; revision: number } | null {
  const parsed = keyPageOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    rows: parsed.data.rows.map((row) => ({ key: row.k, value: row.v, revision: row.stamp })),
    more: parsed.data.has_next ?? false,
    revision: parsed.data.ledger,
  };
}

const changesOnWire = z.object({
  ledger: z.number(),
  log: z.array(
    z.object({ write: z.string().nullish(), remove: z.string().nullish(), v: z.unknown().optional(), stamp: z.number() }),
  ),
});
export function parseChanges(body: Record<string, unknown>): { changes: KeyChange[]; revision: number } | null {
  const parsed = changesOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    revision: parsed.data.ledger,
    changes: parsed.data.log.map((entry) =>
      typeof entry.write === 'string'
        ? { key: entry.write, value: entry.v ?? null, revision: entry.stamp }
        : { key: entry.remove ?? '', value: undefined, revision: entry.stamp },
    ),
  };
}
