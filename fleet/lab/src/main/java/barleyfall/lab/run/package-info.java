/**
 * One run of an experiment: the environment is set up, load is sent, faults are injected, and everything is
 * stopped.
 */
package barleyfall.lab.run;
