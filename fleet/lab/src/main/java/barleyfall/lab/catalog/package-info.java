/** The list service in the lab: replicas as processes, links between them that can be cut, and its trial. */
package barleyfall.lab.catalog;
