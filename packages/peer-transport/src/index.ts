/** Messages between controllers, over TCP links that each of them opens to all others. */
export { encodeFrame, FrameReader, FrameTooLargeError, MAX_FRAME_BYTES } from './frames.js';
export type { LinkProblem, Peer } from './peer.js';
export { PeerTransport } from './peer-transport.js';
