/** One run of an experiment: parties set up, load played, faults carried out, everything ended. */
package barleyfall.lab.run;
