import net from 'node:net';
import { decodePeer, encodePeer, type PeerMessage } from '@archpost/wire';
import { interval, Subject } from 'rxjs';

const MAX_FRAME = 4 << 20;

/**
 * The links between controllers. Each dials all others and only speaks on the links it
 * dialled; what it hears comes on those that others dialled. Frames are a length of four
 * bytes and a protobuf message.
 */
export class Peers {
  readonly message$ = new Subject<PeerMessage>();
  readonly down$ = new Subject<string>();
  readonly unreadable$ = new Subject<string>();
  private readonly out = new Map<string, net.Socket>();

  constructor(private readonly others: { name: string; addr: string }[]) {}

  listen(host: string, port: number): Promise<void> {
    const server = net.createServer((s) => this.accept(s));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  start(): void {
    for (const o of this.others) this.dial(o.name, o.addr);
    interval(500).subscribe(() => {
      for (const o of this.others) if (!this.out.has(o.name)) this.dial(o.name, o.addr);
    });
  }

  private dial(name: string, addr: string): void {
    const cut = addr.lastIndexOf(':');
    const s = net.connect({ host: addr.slice(0, cut), port: Number(addr.slice(cut + 1)), noDelay: true });
    this.out.set(name, s);
    // A dial that hangs, or a link that takes nothing any more, is given up and dialled anew.
    s.setTimeout(3000, () => s.destroy());
    s.on('error', () => s.destroy());
    s.on('close', () => {
      if (this.out.get(name) === s) this.out.delete(name);
    });
  }

  private accept(s: net.Socket): void {
    let kept: Buffer = Buffer.alloc(0);
    let node: string | null = null;
    s.setTimeout(10_000, () => s.destroy());
    s.on('error', () => s.destroy());
    s.on('close', () => {
      if (node !== null) this.down$.next(node);
    });
    s.on('data', (d: Buffer) => {
      kept = kept.length === 0 ? d : Buffer.concat([kept, d]);
      while (kept.length >= 4) {
        const n = kept.readUInt32BE(0);
        if (n > MAX_FRAME) {
          s.destroy();
          return;
        }
        if (kept.length < 4 + n) return;
        const frame = kept.subarray(4, 4 + n);
        kept = kept.subarray(4 + n);
        try {
          const message = decodePeer(frame);
          if (!this.others.some((o) => o.name === message.node)) throw new Error('unknown node');
          node = message.node;
          this.message$.next(message);
        } catch (e) {
          // Dropped and told of; what comes after it begins at its own frame.
          this.unreadable$.next(String(e));
        }
      }
    });
  }

  /** Sends to one controller. */
  send(message: PeerMessage, to: string): void {
    const s = this.out.get(to);
    // Old news help nobody: a link that is behind gets none until it has caught up.
    if (!s || s.connecting || s.writableLength > 256 * 1024) return;
    const body = encodePeer(message);
    const head = Buffer.alloc(4);
    head.writeUInt32BE(body.length);
    s.write(Buffer.concat([head, body]));
  }
}
