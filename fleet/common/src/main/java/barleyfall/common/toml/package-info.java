/**
 * Reads TOML files that people write, with units, and reports every mistake by file, line and key. A file
 * with any mistake is rejected as a whole.
 */
package barleyfall.common.toml;
