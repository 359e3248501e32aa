/**
 * The list service in the lab: replicas as processes, links between them that can be cut, trials and
 * benchmarks.
 */
package barleyfall.lab.catalog;
