/** Processes that the lab starts: they are limited, measured and signalled, and never outlive the lab. */
package barleyfall.lab.process;
