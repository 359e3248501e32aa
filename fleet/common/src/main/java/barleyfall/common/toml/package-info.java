/** Reading files that people write; nothing of a file is taken unless all of it can be. */
package barleyfall.common.toml;
