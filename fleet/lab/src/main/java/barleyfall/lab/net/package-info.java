/**
 * The simulated network that every connection of a run passes through: delays, cuts and resets, and the
 * listeners at which edge nodes find the other components.
 */
package barleyfall.lab.net;
