/**
 * The routes of the HTTP interface as an Express application, and the responses to requests without a route. Frequent
 * requests bypass it, because Express would take several times as much CPU time as processing such a request (see `HttpApi`).
 */
import type http from 'node:http';
import { PATHS } from '@archpost/protocol';
import express from 'express';
import { BodyTooLargeError, readRawBody } from './raw-body.js';

const JOB_PATH = `${PATHS.jobs}/:id`;
const CANCEL_PATH = `${JOB_PATH}/cancel`;

/** The only method allowed on each path; requests with any other method get status 405. */
const ALLOWED_METHODS: readonly { path: string; method: string }[] = [
  { path: PATHS.heartbeat, method: 'POST' },
  { path: PATHS.health, method: 'GET' },
  { path: PATHS.jobs, method: 'POST' },
  { path: JOB_PATH, method: 'GET' },
  { path: CANCEL_PATH, method: 'POST' },
];

/** The handlers that the application calls, one per route. */
export interface RouteHandlers {
  health(response: http.ServerResponse): void;
  /** `body`: null if the request has no body */
  submit(response: http.ServerResponse, body: Buffer | null): void;
  queryStatus(response: http.ServerResponse, job: string): void;
  cancel(response: http.ServerResponse, job: string): void;
  /** called when the request matches no route or is malformed */
  reject(response: http.ServerResponse, status: number, error: string): void;
}

/**
 * Creates the application. It passes bodies to the handlers undecoded, whatever their declared content type, and rejects
 * compressed bodies.
 */
export function createExpressApp(handlers: RouteHandlers): express.Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.set('query parser', false);
  app.set('case sensitive routing', true);
  addRoutes(app, handlers);
  addRejections(app, handlers);
  return app;
}

function addRoutes(app: express.Express, handlers: RouteHandlers): void {
  app.get(PATHS.health, (_request, response) => handlers.health(response));
  app.post(PATHS.jobs, readRawBody, ({ body }, response) => handlers.submit(response, Buffer.isBuffer(body) ? body : null));
  app.get(JOB_PATH, (request, response) => handlers.queryStatus(response, String(request.params.id)));
  app.post(CANCEL_PATH, readRawBody, (request, response) => handlers.cancel(response, String(request.params.id)));
}

function addRejections(app: express.Express, handlers: RouteHandlers): void {
  for (const { path, method } of ALLOWED_METHODS) {
    app.all(path, (_request, response) => {
      response.setHeader('allow', method);
      handlers.reject(response, 405, 'method not allowed');
    });
  }
  app.use((_request, response) => handlers.reject(response, 404, 'no such path'));
  // Express recognizes an error handler by its four parameters.
  app.use((error: unknown, _request: express.Request, response: express.Response, _next: express.NextFunction) => {
    handlers.reject(response, 400, error instanceof BodyTooLargeError ? 'the body is too large' : 'malformed request');
  });
}
