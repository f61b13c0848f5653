/**
 * The core of the version in production, bundled as it was: its names are those of its time. Tests reach it by way of
 * production-version.ts, which has today's names.
 */
export class Core {
  constructor(settings: unknown, boot: string);
}
export function encodePeer(message: unknown): Uint8Array;
export function decodePeer(bytes: Uint8Array): unknown;
