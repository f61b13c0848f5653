/**
 * The names that PROTOCOL uses on the wire, met nowhere but in this package.
 * Everything else speaks of jobs, tasks, machines, tokens, sessions and attempts.
 */
export const PATHS = {
  jobs: '/v2/runs',
  up: '/up',
  report: '/checkin',
  commands: '/do',
  status: '/show',
  machineTypes: '/machine_types',
  machines: '/machines',
  machinesRelease: '/machines/return',
  keys: '/keys',
  compareAndSwap: '/txn',
  leases: '/leases',
  changes: '/changes',
} as const;
