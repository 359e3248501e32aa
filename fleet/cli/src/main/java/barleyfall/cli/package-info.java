/** The command line: words in, tables and exit codes out. What it does is done elsewhere. */
package barleyfall.cli;
