/** Messages between controllers with every field set. */
import type { PeerMessage } from '@archpost/protocol';

/** Values that don't occur on the recorded days: every field is set, and tasks are in every state. */
export const FULL_MESSAGES: PeerMessage[] = [
  {
    node: 'n1',
    status: {
      node: 'n1',
      shards: [
        {
          shard: 2,
          machines: [
            {
              name: 'm1',
              freeCpus: 0.5,
              freeGpus: 1,
              freeMemory: 2.25,
              tasks: 3,
              protectedPriority: -1,
              idleS: 4.5,
              services: 5,
            },
          ],
          demands: [
            {
              cpus: 1.5,
              gpus: 2,
              memory: 3.5,
              types: ['small', 'big'],
              zone: 'east',
              spot: true,
              priority: 3,
              withinQuota: true,
              count: 70_000,
              gang: true,
              waitS: 4.5,
              slackS: -5.5,
              excludedZones: ['west'],
            },
          ],
        },
      ],
      runningJobs: [{ job: 'run-a', count: 1, done: 2, failed: 3 }],
      runningJobsComplete: true,
      unassignedMachines: [{ machine: 'm2', address: '10.0.0.2:80', type: 'small', zone: 'west', spot: true }],
      unchangedHeartbeats: [
        { machine: 'm3', agentEpoch: 2 ** 40, sequence: 2 ** 33, forwardedSequence: 7, fencingToken: 2 ** 44 },
      ],
      availableTypes: ['big'],
      isLeader: true,
      mayAnswerWorkers: true,
      reachesWorkers: true,
      wantedWritesPerS: 11,
      stateServiceAnswers: true,
      heardWorkers: 12,
      replicaLoaded: true,
      cancellationRevision: 2 ** 35,
      ping: 'n1-0/1',
      echo: 'n0-0/2',
    },
    heartbeat: null,
  },
  ...[null, 0, 9.5].map(
    (preemptionNoticeS): PeerMessage => ({
      node: 'n2',
      status: null,
      heartbeat: {
        machine: 'm1',
        address: '10.0.0.1:80',
        type: 'small',
        zone: 'east',
        spot: true,
        agentEpoch: 2 ** 40,
        sequence: 2 ** 33,
        fencingToken: 2 ** 45,
        preemptionNoticeS,
        tasks: [
          { job: 'run-a', index: 0, attempt: 2 ** 34, state: 'waiting', exitReason: null, saved: false },
          { job: 'run-a', index: 1, attempt: 2, state: 'running', exitReason: null, saved: true },
          { job: 'run-b', index: 70_000, attempt: 3, state: 'exited', exitReason: 'no_room', saved: false },
        ],
      },
    }),
  ),
];
