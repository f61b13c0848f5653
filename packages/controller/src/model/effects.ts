/** What the core wants done. The edges carry it out and feed the outcome back in. */
import type { Command, Guard, PeerStatus, Rental, Report, Write } from '@archpost/protocol';

export type Level = 'debug' | 'info' | 'warn';

/** One thing to be done. */
export type Effect =
  | { t: 'txn'; id: number; guards: Guard[]; writes: Write[] }
  /** the replica is to be read anew; soon: others than users' questions wait for it */
  | { t: 'barrier'; soon: boolean }
  | { t: 'command'; id: number; machine: string; addr: string; token: number; session: number; commands: Command[] }
  /** asks a worker for its report, to see whether workers can be reached from here */
  | { t: 'ask'; id: number; addr: string }
  | { t: 'rent'; id: number; rental: Rental }
  | { t: 'return'; id: number; machines: string[] }
  | { t: 'list' }
  | { t: 'types' }
  | { t: 'answer'; id: number; status: number; body: unknown; retryAfterS?: number }
  | { t: 'status'; to: string; status: PeerStatus }
  | { t: 'relay'; to: string; report: Report }
  | { t: 'log'; level: Level; msg: string; data?: Record<string, unknown> };
