/**
 * What waits to be decided, in the order the users wish for under overload: reports of
 * workers first, then the inputs that decisions are made of, then users' requests.
 */
export class Inbox {
  private readonly ranks: [(() => void)[], (() => void)[], { at: number; run: () => void; refuse: () => void }[]] = [[], [], []];
  private scheduled = false;
  /** inputs taken since the last look, by rank, and requests refused for their age */
  private taken = { reports: 0, decisions: 0, requests: 0, refused: 0 };

  constructor(
    private readonly clock: () => number,
    private readonly afterEach: () => void,
    /** a user's request older than this is refused rather than carried out late */
    private readonly staleMs: number,
  ) {}

  report(run: () => void): void {
    this.ranks[0].push(run);
    this.wake();
  }

  decision(run: () => void): void {
    this.ranks[1].push(run);
    this.wake();
  }

  request(run: () => void, refuse: () => void): void {
    this.ranks[2].push({ at: this.clock(), run, refuse });
    this.wake();
  }

  counts(): Inbox['taken'] {
    const t = this.taken;
    this.taken = { reports: 0, decisions: 0, requests: 0, refused: 0 };
    return t;
  }

  private wake(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.drain());
  }

  /** Reports all, then decisions all, then a few requests before looking for more. */
  drain(): void {
    this.scheduled = false;
    for (const rank of [0, 1] as const) {
      const list = this.ranks[rank];
      if (rank === 0) this.taken.reports += list.length;
      else this.taken.decisions += list.length;
      this.ranks[rank] = [];
      for (const run of list) run();
    }
    const now = this.clock();
    for (const r of this.ranks[2].splice(0, 4)) {
      if (now - r.at > this.staleMs) {
        this.taken.refused++;
        r.refuse();
      } else {
        this.taken.requests++;
        r.run();
      }
    }
    this.afterEach();
    if (this.ranks.some((l) => l.length > 0)) this.wake();
  }
}
