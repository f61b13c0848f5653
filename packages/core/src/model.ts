import type { Command, Guard, JobSpec, MachineType, PeerStatus, Rental, Report, TaskReport, Write } from '@archpost/wire';

/** Milliseconds of a steady clock; the core never reads one, every input brings its own. */
export type Ms = number;

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export interface Objective {
  kind: string;
  cls: string | null;
  withinS: number | null;
  afterS: number | null;
  share: number | null;
  most: number | null;
  /** how many times its deadline's time a job may take */
  times?: number | null;
}

export interface Policy {
  /** a held plan that isn't complete after this long is released */
  planWaitS: number;
  /** a machine that answers nobody for this long is given back */
  silentS: number;
  /** hold spare machines of every kind, whatever they cost */
  hold: boolean;
  /** an idle machine is given back after this long, unless capacity is held */
  idleS: number;
  /** most machines held at once; null: as many as there are */
  maxMachines: number | null;
}

/** What the state service takes: requests and changes a second, size of a value, changes in a transaction. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

export interface CoreSettings {
  node: string;
  zone: string;
  /** every controller's name, sorted, with its zone */
  nodes: { name: string; zone: string }[];
  shares: number;
  zones: string[];
  teams: Team[];
  objectives: Objective[];
  workers: { reportS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** what of a processor core this controller has */
  cpuShare: number;
  /** connections that it may have open */
  sockets: number;
  state: StateLimits & {
    /** limits that the state service will have at some later time, as far as they are announced */
    next: Partial<StateLimits> | null;
  };
  cloud: { rps: number; listLagS: number };
  policy: Policy;
}

/** The rank of work that comes before all other, and before guarantees too once it presses. */
export const TOP_RANK = 3;

/** Services wait this long for other room before they take a scarce machine with accelerators. */
export const SCARCE_AFTER_S = 8;

export type Level = 'debug' | 'info' | 'warn';

/** What the core wants done. The edges carry it out and feed the outcome back in. */
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

/** Hands out dense indices for names; index 0 is the first name seen. */
export class Names {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  index(name: string): number {
    let i = this.byName.get(name);
    if (i === undefined) {
      i = this.names.length;
      this.names.push(name);
      this.byName.set(name, i);
    }
    return i;
  }

  find(name: string): number {
    return this.byName.get(name) ?? -1;
  }

  name(i: number): string {
    return this.names[i] ?? '';
  }

  get size(): number {
    return this.names.length;
  }
}

export interface Need {
  cpus: number;
  gpus: number;
  memory: number;
}

/** One task on one machine, from the plan to the end of its report. */
export interface Placement {
  job: Job;
  index: number;
  attempt: number;
  machine: Machine;
  /**
   * planned: room is held, nothing sent; sent: the start may have been executed;
   * there: the worker reports it; exited: it has ended and awaits `forget`
   */
  phase: 'planned' | 'sent' | 'there' | 'exited';
  report: TaskReport | null;
  plannedAt: Ms;
  /** wanted stop: grace in seconds; null: none */
  stop: number | null;
  stopSentAt: Ms;
  /** when the first stop was sent; -1: not yet */
  stopSince: Ms;
  ranSince: Ms;
}

export class Job {
  state: 'live' | 'done' | 'cancelled' = 'live';
  stamp = 0;
  /** first seen here */
  arrivedAt: Ms = 0;
  /** time of day of the submission, ms */
  wall = 0;
  /** ids of jobs that have to be stored as done before any task starts */
  readonly awaited = new Set<string>();
  /** parts of its record that were not read yet; infinite where a list can't be read */
  missingParts = 0;
  /** time of day when the last job that it awaited was done; 0: it awaited none, or the time isn't known */
  readyAt: Ms = 0;
  /** its own rank, or that of the most urgent job that needs it */
  rank: number;
  /** time of day by which it should be done, by its own deadline alone and the time it had from its submission */
  deadlineAt: Ms = Number.POSITIVE_INFINITY;
  deadlineSpan: Ms = 0;
  /** time of day by which it should be done so that all that needs it is in time, and that deadline's time from submission */
  endBy: Ms = Number.POSITIVE_INFINITY;
  endBySpan: Ms = 0;
  doneCount = 0;
  done: Uint8Array;
  stored: Uint8Array;
  placements = new Map<number, Placement>();
  /** first index that was never placed */
  cursor = 0;
  returned: number[] = [];
  notBefore: Ms = 0;
  /** since when some of its tasks have had no room; -1: all have */
  waitsSince: Ms = -1;
  /** machines that it failed on */
  readonly failedOn = new Set<string>();
  failures = 0;
  /** since when it is taken to fail everywhere; -1: it isn't */
  brokenSince: Ms = -1;
  /** how often it was tried since, after each of its tasks had been */
  retries = 0;
  /** some of it ran for a while without failing */
  wentWell = false;
  progressQueued = false;
  /** some of its tasks are done and not stored as such */
  progressDirty = true;
  progressAt: Ms = -1e12;
  finishQueued = false;
  /** gang: attempt in use; 0: none */
  gangAttempt = 0;
  gangFailed = false;
  lastStop: Ms = -1e12;
  /** when one of its tasks was seen stopped that this controller had not told to */
  stoppedElsewhereAt: Ms = -1e12;
  /** when its cancellation was read here */
  cancelledAt: Ms = -1;
  /** longest run of one of its tasks so far, seconds */
  ranS = 0;

  constructor(
    readonly spec: JobSpec,
    readonly team: number,
    readonly share: number,
    public types: number[] | null,
    readonly zone: number,
    readonly image: number,
  ) {
    this.rank = spec.rank;
    this.done = new Uint8Array(spec.tasks);
    this.stored = new Uint8Array(spec.tasks);
  }

  get need(): Need {
    return this.spec;
  }

  /** It awaits others, or what it awaits isn't known yet: none of its tasks may start. */
  get waits(): boolean {
    return this.awaited.size > 0 || this.missingParts > 0;
  }

  /** The submission tells by when the job should be done. */
  setSubmitted(at: Ms): void {
    this.wall = at;
    if (this.spec.deadlineS === null) return;
    this.deadlineSpan = this.spec.deadlineS * 1000;
    this.deadlineAt = at + this.deadlineSpan;
    this.endBy = this.deadlineAt;
    this.endBySpan = this.deadlineSpan;
  }

  /** Tasks that are neither done nor anywhere. */
  pendingCount(): number {
    let placedUndone = 0;
    for (const p of this.placements.values()) if (!this.done[p.index]) placedUndone++;
    return this.spec.tasks - this.doneCount - placedUndone;
  }

  /** A task to place: the caller does so at once. */
  nextPending(): number {
    while (this.returned.length > 0) {
      const i = this.returned[this.returned.length - 1] as number;
      if (!this.done[i] && !this.placements.has(i)) return i;
      this.returned.pop();
    }
    while (this.cursor < this.spec.tasks) {
      const i = this.cursor++;
      if (!this.done[i] && !this.placements.has(i)) return i;
    }
    return -1;
  }

  /** What was never placed comes before what was. */
  nextUntried(): number {
    const returned = this.returned;
    this.returned = [];
    const index = this.nextPending();
    this.returned = returned;
    return index >= 0 ? index : this.nextPending();
  }

  allPending(): number[] {
    const out: number[] = [];
    for (let i = 0; i < this.spec.tasks; i++) if (!this.done[i] && !this.placements.has(i)) out.push(i);
    return out;
  }
}

export class Machine {
  share = -1;
  grantStamp = 0;
  moveTo = -1;
  retire = false;
  session = 0;
  seq = -1;
  /** answered our token since we took the share over: its report is all there is on it */
  resolved = false;
  /** asked since we took the share over */
  probed = false;
  lastAskAt: Ms = -1e12;
  /** highest rank of what its reports name while it isn't resolved: says who to ask first, no more */
  bearsRank = -1;
  /** may bear work of an earlier holder that we don't know of */
  suspect = false;
  /** a command's fate is unknown: its token must rise before it is used again */
  dirty = false;
  raisingToken = false;
  inflight = 0;
  /** when it was last told something */
  toldAt: Ms = -1e12;
  retryAt: Ms = 0;
  heardAt: Ms = 0;
  /** when another controller last said that it hears it */
  elsewhereAt: Ms = -1e12;
  /** who said so */
  elsewhereBy = '';
  /** commands in a row that got no answer, and since when; heard is not reachable */
  lostCount = 0;
  lostSince: Ms = -1;
  /** something about it is odd: it is to be asked how it stands */
  ask = false;
  askedAt: Ms = -1e12;
  noticeUntil: Ms = -1;
  placements = new Map<string, Placement>();
  /** tasks reported that belong to no job or place of ours */
  strays: TaskReport[] = [];
  images = new Map<number, number>();
  cacheQueued = false;
  errorJobs = new Set<string>();
  /** failed here, of jobs whose tasks get done elsewhere */
  errorTasks = 0;
  lastErrorAt: Ms = -1e12;
  /** a return to the cloud is wanted, because: */
  giveBack = '';
  returning = false;
  returnAt: Ms = 0;
  idleSince: Ms = 0;
  grantQueued = false;
  /** takes no more work without accelerators until then: it is being emptied */
  emptyUntil: Ms = -1;

  constructor(
    readonly name: string,
    public addr: string,
    readonly type: number,
    readonly zone: number,
    readonly spot: boolean,
    public cap: MachineType | null,
  ) {}
}
