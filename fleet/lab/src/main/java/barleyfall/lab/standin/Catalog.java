package barleyfall.lab.standin;

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

/**
 * The true list of flag servers in its versions; each edge node's agent hears of a change later, by a draw of
 * its own, and of none while discovery is silent.
 */
public final class Catalog {
    /** A flag server as the list has it; born in ms of the lab's clock, -infinity for long ago. */
    record Entry(Machine machine, String health, double born) { }

    /** One change. */
    record Change(long seq, Entry entry) { }

    private final Experiment.Discovery traits;
    private final LabClock clock;
    private final ScheduledExecutorService timers;
    private final SplittableRandom random;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();
    private long seq = 40;

    /** Timers carry the changes to the agents. */
    public Catalog(Experiment.Discovery traits, LabClock clock, ScheduledExecutorService timers, long seed) {
        this.traits = traits;
        this.clock = clock;
        this.timers = timers;
        random = new SplittableRandom(seed);
    }

    /** One more agent; it knows all of the list at once. */
    public synchronized void add(Agent agent) {
        agents.add(agent);
        entries.values().forEach(e -> agent.hear(List.of(new Change(seq, e))));
    }

    /** Before the run: known to all at once. */
    synchronized void listFirst(Machine machine) {
        entries.put(machine.id(), new Entry(machine, "active", Double.NEGATIVE_INFINITY));
        seq++;
    }

    /** A flag server has changed: each agent is told, late. */
    synchronized void change(Machine machine, String health, double born) {
        Entry e = new Entry(machine, health, born);
        if (health.equals("left")) {
            entries.remove(machine.id());
        } else {
            entries.put(machine.id(), e);
        }
        Change c = new Change(++seq, e);
        for (Agent a : agents) {
            a.queue(c, clock.now() + traits.late().at(random.nextDouble()));
            timers.schedule(a::hearDue, clock.nanosUntil(a.lastDue()) + 1, TimeUnit.NANOSECONDS);
        }
    }

    /** Runs an action after a draw of how late a silent death is noticed. */
    synchronized void whenDeathIsNoticed(Runnable action) {
        timers.schedule(action, (long) traits.silentDeath().at(random.nextDouble()), TimeUnit.MILLISECONDS);
    }

    /** Runs an action after a draw of how late a flag server that came up is listed. */
    synchronized void whenAdded(Runnable action) {
        timers.schedule(action, (long) traits.added().at(random.nextDouble()), TimeUnit.MILLISECONDS);
    }

    /** Silent: no agent hears or says anything. */
    public synchronized void silent(boolean silent) {
        agents.forEach(a -> a.silent(silent));
        if (!silent) {
            agents.forEach(a -> timers.schedule(a::hearDue, 1, TimeUnit.MILLISECONDS));
        }
    }
}
