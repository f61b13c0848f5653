/** Addresses as the settings and the services write them. */

/** Splits `IP:port`. The form isn't checked: the settings' schema does that. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
