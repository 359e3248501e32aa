/** What clients of the list service saw, and whether one list that changes in steps can have shown it. */
package barleyfall.lab.history;
