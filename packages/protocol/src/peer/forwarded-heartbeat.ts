export const taskStatusFields = {
  job: { type: 'string', id: 1 },
  index: { type: 'uint32', id: 2 },
  attempt: { type: 'uint64', id: 3 },
  state: { type: 'string', id: 4 },
  exitReason: { type: 'string', id: 5 },
  saved: { type: 'bool', id: 6 },
};

export const heartbeatFields = {
  machine: { type: 'string', id: 1 },
  address: { type: 'string', id: 2 },
  type: { type: 'string', id: 3 },
  zone: { type: 'string', id: 4 },
  spot: { type: 'bool', id: 5 },
  agentEpoch: { type: 'uint64', id: 6 },
  sequence: { type: 'uint64', id: 7 },
  fencingToken: { type: 'uint64', id: 8 },
  preemptionNoticeS: { type: 'double', id: 9 },
  tasks: { rule: 'repeated', type: 'TaskStatus', id: 10 },
};
