package barleyfall.lab.standin;

import barleyfall.common.toml.Range;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Machine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The registry behind the lab's own discovery agents. It holds the true list of flag servers; the agent of
 * each edge node learns of a change after a random delay of its own, and of none while discovery is silent.
 */
public final class AgentRegistry implements FlagServerRegistry {
    /**
     * A listed flag server. {@code bornMs} is on the lab's clock, negative infinity for one that started long
     * before the run.
     */
    record Entry(Machine machine, String health, double bornMs) { }

    /** A change of an entry, with the version of the list that it leads to. */
    record Change(long seq, Entry entry) { }

    private final Experiment.Discovery settings;
    private final LabClock clock;
    private final ScheduledExecutorService timers;
    private final SplittableRandom random;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private long lastSeq = 40;

    /**
     * Creates an empty registry.
     *
     * @param timers executor that delivers changes to the agents
     */
    public AgentRegistry(Experiment.Discovery settings, LabClock clock, ScheduledExecutorService timers,
        long seed) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        random = new SplittableRandom(seed);
    }

    /** Adds an agent, which learns the whole list at once. */
    public synchronized void add(DiscoveryAgent agent) {
        agents.add(agent);
        entries.values().forEach(entry -> agent.apply(List.of(new Change(lastSeq, entry))));
    }

    @Override public synchronized void registerInitial(Machine machine, BooleanSupplier isRunning) {
        entries.put(machine.id(), new Entry(machine, "active", Double.NEGATIVE_INFINITY));
        lastSeq++;
    }

    @Override public void registerStarted(Machine machine, double bornMs, BooleanSupplier isRunning) {
        runLater(settings.registrationMs(), () -> publish(machine, "active", bornMs));
    }

    @Override public void markDraining(Machine machine) {
        publish(machine, "leaving", Double.NEGATIVE_INFINITY);
    }

    @Override public void deregister(Machine machine) {
        publish(machine, "left", Double.NEGATIVE_INFINITY);
    }

    @Override public void expireUnlessBack(Machine machine, BooleanSupplier isRunning) {
        runLater(settings.deathDetectionMs(), () -> {
            if (!isRunning.getAsBoolean()) {
                publish(machine, "left", Double.NEGATIVE_INFINITY);
            }
        });
    }

    /** Runs an action after a random delay. */
    private synchronized void runLater(Range delayMs, Runnable action) {
        timers.schedule(action, (long) delayMs.at(random.nextDouble()), TimeUnit.MILLISECONDS);
    }

    /** Changes an entry and delivers the change to each agent after a random delay. */
    private synchronized void publish(Machine machine, String health, double bornMs) {
        Entry entry = new Entry(machine, health, bornMs);
        if (health.equals("left")) {
            entries.remove(machine.id());
        } else {
            entries.put(machine.id(), entry);
        }
        Change change = new Change(++lastSeq, entry);
        for (DiscoveryAgent agent : agents) {
            agent.enqueue(change, clock.nowMs() + settings.propagationMs().at(random.nextDouble()));
            timers.schedule(agent::applyDueChanges, clock.nanosUntil(agent.lastDueMs()) + 1,
                TimeUnit.NANOSECONDS);
        }
    }

    @Override public synchronized void setSilent(boolean silent) {
        agents.forEach(agent -> agent.setSilent(silent));
        if (!silent) {
            agents.forEach(agent -> timers.schedule(agent::applyDueChanges, 1, TimeUnit.MILLISECONDS));
        }
    }
}
