/**
 * The HTTP interface of a replica: the platform's discovery protocol, requests of flag servers and operators,
 * and metrics.
 */
package barleyfall.catalog.http;
