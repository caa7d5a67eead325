import type { Configuration, ServiceRoute } from '@berylwood/schema';

/** Route of a request. @internal */
export type Route =
  | { readonly type: 'completion' }
  | { readonly type: 'models' }
  | { readonly type: 'service'; readonly route: ServiceRoute };

const COMPLETION_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);

function isUnder(path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Finds the route of a method and path; the longest prefix of a plain service wins. @internal */
export function findRoute(
  configuration: Configuration,
  method: string,
  path: string,
): Route | undefined {
  if (method === 'POST' && COMPLETION_PATHS.has(path)) return { type: 'completion' };
  if (method === 'GET' && path === '/v1/models') return { type: 'models' };
  let best: ServiceRoute | undefined;
  for (const route of configuration.routes) {
    const allowed = (route.methods as readonly string[]).includes(method);
    if (!allowed || !isUnder(path, route.path)) continue;
    if (!best || route.path.length > best.path.length) best = route;
  }
  return best && { type: 'service', route: best };
}
