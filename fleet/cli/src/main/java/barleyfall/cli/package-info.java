/**
 * The command line: parses arguments, prints tables and sets exit codes. The work is done in the other
 * modules.
 */
package barleyfall.cli;
