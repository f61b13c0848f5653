/** The client of the cloud that rents out machines. */
export { CLOUD_SOCKETS, CloudClient, type ProvisioningOutcome } from './cloud-client.js';
