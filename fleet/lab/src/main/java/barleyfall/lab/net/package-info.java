/**
 * What every connection of a run goes through: delays, cuts, resets, and the doors that parties stand
 * behind.
 */
package barleyfall.lab.net;
