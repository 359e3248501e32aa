/** Structured logs. */
package barleyfall.common.log;
