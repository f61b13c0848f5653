/** The program in a second thread, whose heap may be larger than the one that Node started with. */
import v8 from 'node:v8';
import { Worker } from 'node:worker_threads';

/** Owns the thread. The process ends as the thread does, with its exit code. */
export class ServiceThread {
  private readonly thread: Worker;

  /** Runs the program at this path once more, with this process's arguments. */
  constructor(programPath: string, oldGenerationMb: number) {
    // The flag counts for heaps that begin after it; a thread's own limits give way to it.
    v8.setFlagsFromString(`--max-old-space-size=${oldGenerationMb}`);
    this.thread = new Worker(programPath, { argv: process.argv.slice(2) });
    this.thread.on('error', (error) => {
      process.stderr.write(`archpost: ${error.message}\n`);
      process.exit(1);
    });
    this.thread.on('exit', (code) => process.exit(code));
  }

  /** Ends the thread, and with it the process. */
  async close(): Promise<void> {
    await this.thread.terminate();
  }
}
