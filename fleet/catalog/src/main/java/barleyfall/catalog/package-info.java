/** The list service: one list of flag servers, kept by 1, 3 or 5 replicas. */
package barleyfall.catalog;
