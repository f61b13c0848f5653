import type { PeerStatus } from '@archpost/protocol';
import type { CoreSettings, Effect, Level, Ms } from '../model/index.js';
import type { Table } from '../state/cluster-state.js';
import type { Replica } from '../state/replica.js';
import type { Writer } from '../state/state-writer.js';

export interface Peer {
  status: PeerStatus;
  /** tasks that run and are done there, by job */
  running: Map<string, { count: number; done: number; failed: number }>;
  at: Ms;
  up: boolean;
}

/** What the parts of the core share. */
export interface Context {
  readonly settings: CoreSettings;
  /** the time of the input being taken */
  readonly now: Ms;
  readonly boot: string;
  readonly table: Table;
  readonly replica: Replica;
  readonly writer: Writer;
  readonly lease: { permit: number | null; validUntil: Ms };
  readonly peers: Map<string, Peer>;
  /** the replica holds everything that was so at this time */
  freshAt: Ms;
  emit(e: Effect): void;
  log(level: Level, msg: string, data?: Record<string, unknown>): void;
  nextId(): number;
  leaseValid(now: Ms): boolean;
  storeOk(now: Ms): boolean;
  /** this process stood still, and has read nothing since */
  settling(): boolean;
  /** can workers be reached from here? */
  reach(): boolean;
  /** held, and not being released: commands, plans and returns may leave for it */
  acts(share: number): boolean;
  peerAlive(node: string, now: Ms): boolean;
  afterBarrier(now: Ms, run: (now: Ms) => void, until?: Ms, late?: () => void): void;
  gained(holding: string, stamp: number): void;
  lost(holding: string): void;
  /** do all machines of a share held here answer, and is the most urgent work placed? */
  settled(share: number): boolean;
  planSoon(): void;
  /** can more machines of this type be had, as far as is known? */
  plenty(type: string): boolean;
}
