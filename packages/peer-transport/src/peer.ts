/** Types that incoming and outgoing links have in common. */

/** Another controller. */
export interface Peer {
  name: string;
  /** `host:port` at which it listens for its peers */
  address: string;
}

/** A message that was dropped, and from whom it came or to whom it was to go. Operators see it in the log. */
export interface LinkProblem {
  /** name of the peer, or its address or `unknown` if its name is not known */
  peer: string;
  error: string;
}
