/** Users' requests, at any controller. */

import type {
  ClusterStateView,
  EffectSink,
  InputClock,
  PeerDirectory,
  ReadBarrierSource,
  ReplicaView,
  SettingsView,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { Cancellations } from './cancellations.js';
import { ClientResponses } from './client-responses.js';
import { StatusQueries } from './status-queries.js';
import { Submissions } from './submissions.js';

/** What the client requests needs of its controller. */
type ClientRequestsContext = SettingsView &
  InputClock &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  ReadBarrierSource &
  PeerDirectory &
  EffectSink;

export class ClientRequests {
  private readonly responses: ClientResponses;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;
  private readonly statusQueries: StatusQueries;

  constructor(context: ClientRequestsContext) {
    this.responses = new ClientResponses(context);
    this.submissions = new Submissions(context, this.responses);
    this.cancellations = new Cancellations(context, this.responses);
    this.statusQueries = new StatusQueries(context, this.responses);
  }

  /** `wall`: the time of day. */
  submit(id: number, body: Record<string, unknown> | null, now: Milliseconds, wallClockMs: Milliseconds): void {
    this.responses.requestOpened();
    this.submissions.submit(id, body, now, wallClockMs);
  }

  cancel(id: number, job: string, now: Milliseconds): void {
    this.responses.requestOpened();
    this.cancellations.cancel(id, job, now);
  }

  queryStatus(id: number, job: string, now: Milliseconds): void {
    this.responses.requestOpened();
    this.statusQueries.query(id, job, now);
  }

  /** Questions wait for a newer reading. */
  get hasPendingQueries(): boolean {
    return this.statusQueries.hasPending;
  }

  /** The replica holds everything that was so at `asOf`. */
  replicaFreshUpTo(asOf: Milliseconds): void {
    this.statusQueries.answerUpTo(asOf);
  }

  tick(now: Milliseconds): void {
    this.responses.tick(now);
    this.statusQueries.tick(now);
  }
}
