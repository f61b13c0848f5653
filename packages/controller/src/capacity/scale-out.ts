/** The input and the result of a decision to scale out. */
import type { ShardSummary } from '@archpost/protocol';
import type { ClusterStateView } from '../context/index.js';
import type { InstanceKind, InstanceOption } from './instance-kind.js';

/** A number of machines of one kind to provision. */
export interface ScaleOutRequest extends InstanceKind {
  count: number;
  /** the machines serve work of the highest priority */
  urgent: boolean;
}

/** The data that a decision to scale out depends on, as of one round of the leader. */
export interface ScaleOutSnapshot extends ClusterStateView {
  readonly shards: ReadonlyMap<number, ShardSummary>;
  /** the kind of each machine that is requested, booting, or up but not assigned yet */
  readonly arriving: readonly InstanceKind[];
  /** all kinds that can be provisioned, in the order of `instanceOptions` */
  readonly options: readonly InstanceOption[];
  /** Whether the retry delay of the kind has passed. The order of first calls determines the order of available types. */
  isRequestDue(kind: InstanceKind): boolean;
  /** Whether machines of the kind fail to boot. Logs a change with the fields of `kind`. */
  isFailing(kind: InstanceKind): boolean;
  /** Whether the zone is cut off from this controller. */
  isZoneCut(zone: string): boolean;
}
