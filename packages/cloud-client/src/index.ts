/** The client of the cloud that provisions machines. */
export { CLOUD_SOCKETS, CloudClient, type ProvisioningOutcome } from './cloud-client.js';
