/** Messages between controllers, over TCP links that each controller opens to all of its peers. */
export { encodeFrame, FrameReader, FrameTooLargeError, MAX_FRAME_BYTES } from './frames.js';
export type { LinkProblem, Peer } from './peer.js';
export { PeerTransport } from './peer-transport.js';
