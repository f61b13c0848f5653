/** Addresses of services. */

/** Splits `IP:port`. Assumes that form, which the settings' schema checks. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
