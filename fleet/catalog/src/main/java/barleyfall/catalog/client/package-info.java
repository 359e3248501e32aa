/** Talking to the list service, for the command line and for tests. */
package barleyfall.catalog.client;
