/** The edge nodes' processes: started, limited, measured, signalled by id, and never left behind. */
package barleyfall.lab.process;
