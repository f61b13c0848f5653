/** Good bodies of a submission and of a heartbeat, as they are on the wire. */

/** A good submission. */
export const SUBMISSION = {
  ref: 'run-a',
  jobclass: 'batch',
  crew: 'red',
  shape: 'sweep',
  rank: 'standard',
  pieces: 1,
  cores: 2,
  accelerators: 0,
  memory_gb: 4,
  bundle: 'img',
  size_gb: 1,
  builds: null,
  yard: null,
  one_zone: false,
  spread: false,
  loaners: false,
  guess_s: 10,
  snapshot_s: 0,
  stow_s: 0,
  due_s: null,
  awaits: null,
};

/** A task of a heartbeat. */
export const TASK = { piece: 'run-a/0', try: 1, status: 'running', cause: null, saved: false };

/** A good heartbeat. */
export const REPORT = {
  host: 'n-1',
  address: '1.2.3.4:5',
  build: 'small',
  yard: 'east',
  loaners: false,
  shift: 1,
  tally: 1,
  baton: null,
  warning_s: null,
  pieces: [],
};
