/** Paths of the HTTP interfaces of controllers, workers, the cloud and the state service. */
export const PATHS = {
  // Controllers, called by users and workers.
  jobs: '/v2/runs',
  health: '/up',
  heartbeat: '/checkin',
  // Workers, called by controllers.
  commands: '/do',
  status: '/show',
  // Cloud.
  machineTypes: '/machine_types',
  machines: '/machines',
  machineReleases: '/machines/return',
  // State service.
  keys: '/keys',
  compareAndSwap: '/txn',
  leases: '/leases',
  changes: '/changes',
} as const;
