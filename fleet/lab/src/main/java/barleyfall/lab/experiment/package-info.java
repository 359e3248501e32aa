/**
 * Experiments as their files describe them. A file is validated as a whole and refused with file, line and
 * key of each problem.
 */
package barleyfall.lab.experiment;
