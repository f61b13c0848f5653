/** Valid bodies of a submission and of a heartbeat, with the field names of the wire. */

/** A valid submission. */
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

/** A valid task of a heartbeat. */
export const TASK = { piece: 'run-a/0', try: 1, status: 'running', cause: null, saved: false };

/** A valid heartbeat. */
export const HEARTBEAT = {
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
