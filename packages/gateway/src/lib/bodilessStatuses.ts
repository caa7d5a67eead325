/** Statuses of responses that never have a body: No Content and Not Modified. @internal */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
