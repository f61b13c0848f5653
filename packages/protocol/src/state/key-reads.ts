/** Reads of the state service's keys: all keys in pages, and the changes after a revision. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';
import { PATHS } from '../paths.js';

/** A key and its value. */
export interface StoredKey {
  key: string;
  value: unknown;
  /** revision of its last change */
  revision: number;
}

/** A change of one key. */
export interface KeyChange {
  key: string;
  /** undefined: the key was removed */
  value: unknown;
  /** revision of this change */
  revision: number;
}

/** A page of keys, sorted by key. */
export interface KeyPage {
  rows: StoredKey[];
  /** whether further pages follow */
  hasMore: boolean;
  /** revision of the service when it read this page; pages may have different revisions */
  revision: number;
}

/** All changes after the requested revision. */
export interface ChangePage {
  changes: KeyChange[];
  /** revision of the service, up to which the changes are complete */
  revision: number;
}

const keyPageOnWire = z.object({
  rows: boundedList(z.object({ k: z.string(), v: z.unknown().optional(), stamp: z.number() })),
  has_next: z.boolean().nullish(),
  ledger: z.number(),
});

const changesOnWire = z.object({
  ledger: z.number(),
  log: boundedList(
    z.object({ write: z.string().nullish(), remove: z.string().nullish(), v: z.unknown().optional(), stamp: z.number() }),
  ),
});

/** Returns the path and query of the page of keys with this prefix that follow `after`; empty `after`: the first page. */
export function keyPagePath(prefix: string, after: string, limit: number): string {
  const start = after === '' ? '' : `&since=${after}`;
  return `${PATHS.keys}?starts=${prefix}${start}&most=${limit}`;
}

/**
 * Returns the path and query of the changes after a revision of keys with this prefix. The service responds immediately if
 * there are any, and otherwise as soon as there is one or `waitMs` has passed.
 */
export function changesPath(prefix: string, sinceRevision: number, waitMs: number): string {
  return `${PATHS.changes}?starts=${prefix}&since=${sinceRevision}&wait_ms=${waitMs}`;
}

/** Parses a page. Returns null if a field is missing or invalid. */
export function parseKeyPage(body: MessagePackMap): KeyPage | null {
  const parsed = keyPageOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    rows: parsed.data.rows.map((row) => ({ key: row.k, value: row.v, revision: row.stamp })),
    hasMore: parsed.data.has_next ?? false,
    revision: parsed.data.ledger,
  };
}

/** Parses the changes. Returns null if a field is missing or invalid. */
export function parseChanges(body: MessagePackMap): ChangePage | null {
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
