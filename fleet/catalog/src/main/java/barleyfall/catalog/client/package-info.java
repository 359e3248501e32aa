/** An HTTP client of the list service, for replicas, the command line and tests. */
package barleyfall.catalog.client;
