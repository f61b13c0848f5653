/** Types that incoming and outgoing links share. */

/** Another controller. */
export interface Peer {
  name: string;
  /** `host:port` at which it listens for its peers */
  address: string;
}

/** Why a message was dropped, and the peer that sent it or was to receive it. Logged for operators. */
export interface LinkProblem {
  /** name of the peer; if the name isn't known, its address or `unknown` */
  peer: string;
  error: string;
}
