/**
 * The rules that every run is checked against, using only the events that the stand-ins observed. The checks
 * read no log and no report of an edge node; what they require follows from the operators' protocol.
 */
package barleyfall.lab.rules;
