export const encodeLeaseRequest = (ttlMs: number) => ({ ttl_ms: ttlMs });
export const parseLease = (body: Record<string, unknown>) => (typeof body.permit === 'number' ? body.permit : null);
