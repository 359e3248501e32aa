/** Structured logging. */
package barleyfall.common.log;
