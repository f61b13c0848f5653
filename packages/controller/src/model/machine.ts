/** A machine, what is stored of it and what this controller knows and intends. */
import type { MachineType, TaskReport } from '@archpost/protocol';
import type { Placement } from './job.js';
import type { MachineLoad } from './machine-load.js';
import type { Ms } from './time.js';

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
  /** what its placements take, as long as none changes; see `changed` */
  load: MachineLoad | null = null;
  /** there may be something to command: a start, a stop, or an end to clear away */
  commandsDue = true;
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

  /** To be called whenever a placement comes, goes, ends or is to stop, and when what it may bear changes. */
  changed(): void {
    this.load = null;
    this.commandsDue = true;
  }
}
