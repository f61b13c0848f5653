// Preloaded into a controller process (`--require`): SIGUSR2 starts a CPU profile, or stops it and writes it to the folder
// PROFILE_FOLDER.
const { Session } = require('node:inspector');
const { writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { monitorEventLoopDelay } = require('node:perf_hooks');

/** Sampling interval in microseconds. */
const INTERVAL_US = 200;

const session = new Session();
session.connect();
session.post('Profiler.enable');
session.post('Profiler.setSamplingInterval', { interval: INTERVAL_US });

let count = 0;
let running = false;
const delay = monitorEventLoopDelay();

function begin() {
  running = true;
  delay.enable();
  session.post('Profiler.start');
}

function end() {
  running = false;
  session.post('Profiler.stop', (error, result) => {
    if (error) throw error;
    writeFileSync(join(process.env.PROFILE_FOLDER, `${process.pid}-${count++}.cpuprofile`), JSON.stringify(result.profile));
  });
}

process.on('SIGUSR2', () => (running ? end() : begin()));
if (process.env.PROFILE_START === 'yes') begin();
