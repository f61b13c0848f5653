/** The input and the result of a decision to scale out. */
import type { ShardSummary } from '@archpost/protocol';
import type { ClusterStateView } from '../context/index.js';
import type { InstanceKind, InstanceOption } from './instance-kind.js';

/** Machines of one kind that are to be provisioned. */
export interface ScaleOutRequest extends InstanceKind {
  count: number;
  /** for work of the highest priority */
  urgent: boolean;
}

/** What a decision to scale out depends on, as of one round of the leader. */
export interface ScaleOutSnapshot extends ClusterStateView {
  readonly shards: ReadonlyMap<number, ShardSummary>;
  /** the kind of each machine that boots or is requested */
  readonly arriving: readonly InstanceKind[];
  /** all that the cloud offers, as `instanceOptions` orders it */
  readonly options: readonly InstanceOption[];
  /** Has the retry delay of the kind passed? The order of the first calls decides the order of the available types. */
  isRequestDue(kind: InstanceKind): boolean;
  /** Do machines of the kind fail to boot? Logs a change with the fields of `kind`. */
  isFailing(kind: InstanceKind): boolean;
  /** Is the zone cut off from this controller? */
  isZoneCut(zone: string): boolean;
}
