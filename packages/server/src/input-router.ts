/** Routes inputs of the controller to their queues: client requests, changes of the stored state, messages of peers. */
import type { Controller } from '@archpost/controller';
import { type ApiRequest, decodeSubmissionBody, type HttpApi } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { PeerTransport } from '@archpost/peer-transport';
import type { StateServiceClient } from '@archpost/state-client';
import { Subscription } from 'rxjs';
import type { Inbox } from './inbox.js';

const OVERLOADED_BODY = { error: 'overloaded' };

/** `Retry-After` of requests that waited too long in their queue, in seconds. */
const OVERLOADED_RETRY_S = 1;

/** Decodes the body of a submission and passes it to the controller. */
function submitJob(controller: Controller, id: number, bytes: Buffer | null): void {
  const { map, fault } = decodeSubmissionBody(bytes);
  controller.submitJob(id, map, monotonicMs(), Date.now(), fault !== 'invalid text');
}

/** Enqueues the inputs of the controller. Owns the subscriptions to the state service and to peers. */
export class InputRouter {
  private readonly subscriptions = new Subscription();

  constructor(
    private readonly controller: Controller,
    private readonly inbox: Inbox,
    private readonly api: Pick<HttpApi, 'respond'>,
  ) {}

  /** Subscribes to the events of the state service and of peers. */
  subscribe(stateService: StateServiceClient, peers: PeerTransport): void {
    this.subscribeToState(stateService);
    this.subscribeToPeers(peers);
  }

  /** Ends the subscriptions. */
  close(): void {
    this.subscriptions.unsubscribe();
  }

  /** Enqueues a request of a user or worker. */
  receiveRequest(request: ApiRequest): void {
    const { controller, inbox } = this;
    if (request.kind === 'heartbeat') {
      inbox.enqueueHeartbeat(() => controller.receiveHeartbeat(request.id, request.heartbeat, monotonicMs()));
      return;
    }
    const reject = () => this.api.respond(request.id, 503, OVERLOADED_BODY, OVERLOADED_RETRY_S);
    if (request.kind === 'statusQuery') {
      inbox.enqueueStatusQuery(() => controller.queryJobStatus(request.id, request.job, monotonicMs()), reject);
      return;
    }
    inbox.enqueueMutation(() => {
      if (request.kind === 'submit') submitJob(controller, request.id, request.bytes);
      else controller.cancelJob(request.id, request.job, monotonicMs());
    }, reject);
  }

  private subscribeToState(stateService: StateServiceClient): void {
    const { controller, inbox, subscriptions } = this;
    subscriptions.add(
      stateService.snapshot$.subscribe(({ rows, revision }) =>
        inbox.enqueueControlEvent(() => controller.receiveSnapshot(rows, revision, monotonicMs())),
      ),
    );
    subscriptions.add(
      stateService.changes$.subscribe(({ changes, revision, asOf }) =>
        inbox.enqueueControlEvent(() => controller.receiveChanges(changes, revision, asOf, monotonicMs())),
      ),
    );
    subscriptions.add(
      stateService.lease$.subscribe(({ leaseId, validUntil }) =>
        inbox.enqueueControlEvent(() => controller.receiveLeaseState(leaseId, validUntil, monotonicMs())),
      ),
    );
  }

  private subscribeToPeers(peers: PeerTransport): void {
    const { controller, inbox, subscriptions } = this;
    subscriptions.add(
      peers.message$.subscribe(({ heartbeat, status }) => {
        if (heartbeat) inbox.enqueueHeartbeat(() => controller.receiveForwardedHeartbeat(heartbeat, monotonicMs()));
        if (status) inbox.enqueueControlEvent(() => controller.receivePeerStatus(status, monotonicMs()));
      }),
    );
    subscriptions.add(
      peers.disconnected$.subscribe((peer) => inbox.enqueueControlEvent(() => controller.peerDisconnected(peer, monotonicMs()))),
    );
  }
}
