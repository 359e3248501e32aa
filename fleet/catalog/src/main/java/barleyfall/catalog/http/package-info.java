/**
 * The list over HTTP: the platform's discovery protocol, what flag servers and operators say, and figures.
 */
package barleyfall.catalog.http;
