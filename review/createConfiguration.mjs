export const HOST = 'service.example';

/** Paths of the routes of a configuration. */
export const PATHS = { safe: '/lookup/', stream: '/letter/' };

/** A configuration of two routes to one service, as operators send it. */
export function createConfiguration(version, { timeoutMs = 3000 } = {}) {
  const route = {
    hostname: HOST,
    timeoutMs,
    sloMs: 800,
    priority: 1,
    service: 'engines',
    maxAttempts: 1,
    anonymous: true,
  };
  return JSON.stringify({
    version,
    routes: [
      { ...route, name: 'lookup', pathPrefix: PATHS.safe, routeKind: 'safe' },
      {
        ...route,
        name: 'letter',
        pathPrefix: PATHS.stream,
        routeKind: 'streaming',
        resumable: false,
        itlTargetMs: 200,
      },
    ],
    services: [{ name: 'engines', healthPath: '/healthz', maxConnections: 380 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [],
  });
}
