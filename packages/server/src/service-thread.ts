/** Runs the program in a second thread, whose heap may be larger than the one that Node started with. */
import v8 from 'node:v8';
import { Worker } from 'node:worker_threads';

/** Owns the thread. When the thread exits, the process exits with the same code. */
export class ServiceThread {
  private readonly thread: Worker;

  /** Starts the program at this path in a new thread, with this process's arguments. */
  constructor(programPath: string, oldGenerationMb: number) {
    // The flag applies to heaps that are created after it is set, and takes precedence over a thread's `resourceLimits`.
    v8.setFlagsFromString(`--max-old-space-size=${oldGenerationMb}`);
    this.thread = new Worker(programPath, { argv: process.argv.slice(2) });
    this.thread.on('error', (error) => {
      process.stderr.write(`archpost: ${error.message}\n`);
      process.exit(1);
    });
    this.thread.on('exit', (code) => process.exit(code));
  }

  /** Terminates the thread, and with it the process. */
  async close(): Promise<void> {
    await this.thread.terminate();
  }
}
