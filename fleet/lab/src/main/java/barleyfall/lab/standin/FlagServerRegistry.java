package barleyfall.lab.standin;

import barleyfall.lab.plan.Machine;
import java.io.IOException;
import java.util.function.BooleanSupplier;

/**
 * How flag servers enter and leave the list. {@code isRunning} tells whether the process that an entry stands
 * for still runs.
 */
public interface FlagServerRegistry {
    /** Registers a server of the initial fleet before the run; returns when it is listed. */
    void registerInitial(Machine machine, BooleanSupplier isRunning) throws IOException;

    /** Registers a server that started at a time of the lab's clock; it is listed a little later. */
    void registerStarted(Machine machine, double bornMs, BooleanSupplier isRunning);

    /** Marks a server that is about to be replaced as draining. */
    void markDraining(Machine machine);

    /** Removes a server that has been replaced. */
    void deregister(Machine machine);

    /**
     * Reports that a process or a machine died without deregistering. It is removed from the list after a
     * delay, unless it runs again by then.
     */
    void expireUnlessBack(Machine machine, BooleanSupplier isRunning);

    /** While silent, discovery sends nothing to any edge node. */
    void setSilent(boolean silent);
}
