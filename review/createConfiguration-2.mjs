export const HOST = 'review.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** A configuration with one tenant; each route is completed from defaults. */
export function createConfiguration({ version = 1, routes, services }) {
  const defaults = {
    hostname: HOST,
    routeKind: 'safe',
    timeoutMs: 3000,
    sloMs: 800,
    priority: 1,
    maxAttempts: 2,
    anonymous: false,
    sticky: false,
    resumable: false,
  };
  return {
    version,
    routes: routes.map((route) => ({ ...defaults, ...route })),
    services: services.map((service) => ({
      healthPath: '/healthz',
      maxConnections: 390,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: LIMITS,
    tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
  };
}
