import type { Core as PresentCore } from '@archpost/controller';

/** The core of the version in production; as far as tests use it, it has the same interface. */
export const Core: typeof PresentCore;
export { decodePeer, encodePeer } from '@archpost/protocol';
