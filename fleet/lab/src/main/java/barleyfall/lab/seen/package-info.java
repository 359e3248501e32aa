/**
 * Events that the lab's stand-ins observe from outside, and the trace file that holds them. Nothing here
 * comes from what the edge nodes report about themselves.
 */
package barleyfall.lab.seen;
