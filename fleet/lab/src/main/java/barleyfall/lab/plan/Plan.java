package barleyfall.lab.plan;

import barleyfall.common.toml.Range;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.Selector;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Everything that is drawn before a run, from an experiment and a seed. Runs with the same hash were given
 * the same load and the same faults.
 */
public final class Plan {
    private final Experiment experiment;
    private final RandomStreams streams;
    private final List<Customer> customers;
    private final List<Arrival> arrivals;
    private final String hash;

    private Plan(Experiment experiment, RandomStreams streams,
        List<Customer> customers, List<Arrival> arrivals) {
        this.experiment = experiment;
        this.streams = streams;
        this.customers = customers;
        this.arrivals = arrivals;
        hash = computeHash(); // here rather than during the run, as a large load takes seconds
    }

    /** Draws the plan of an experiment. */
    public static Plan draw(Experiment experiment, long seed) {
        RandomStreams streams = new RandomStreams(seed);
        LoadGenerator load = new LoadGenerator(experiment, streams);
        return new Plan(experiment, streams, List.copyOf(load.customers()), List.copyOf(load.arrivals()));
    }

    /** Returns the experiment that the plan was drawn for. */
    public Experiment experiment() {
        return experiment;
    }

    /** Returns the random streams for what is drawn during the run. */
    public RandomStreams randomStreams() {
        return streams;
    }

    /** Returns all customers, by index. */
    public List<Customer> customers() {
        return customers;
    }

    /** Returns all requests, in the order in which their first tries are due. */
    public List<Arrival> arrivals() {
        return arrivals;
    }

    /**
     * Returns the zone of an edge node or of a machine of the initial fleet; zones are assigned round robin.
     */
    public String zone(int number) {
        List<String> zones = experiment.topology().zones();
        return zones.get(number % zones.size());
    }

    /** Draws the machine of a number in a zone. */
    public Machine machine(int number, String zone) {
        return Machine.draw(experiment, streams, number, zone);
    }

    /**
     * Returns the one-way delay between two components.
     *
     * @param pair name of the pair, which selects the random stream
     * @param from zone of the one
     * @param to zone of the other
     */
    public double delayMs(String pair, String from, String to) {
        Experiment.Topology topology = experiment.topology();
        Experiment.Delays delays = experiment.delays();
        Range delayRange = from.equals(to) ? delays.sameZoneMs()
            : topology.region(from).equals(topology.region(to)) ? delays.crossZoneMs()
            : delays.crossRegionMs();
        return delayRange.at(streams.of("delay " + pair).nextDouble());
    }

    /** Returns the edge nodes that a fault applies to. */
    public List<Integer> affectedEdges(Experiment.Fault fault) {
        return select(fault.name(), Selector.of(fault.target(), experiment.topology()), "edge",
            IntStream.range(0, experiment.topology().edges()).boxed().toList());
    }

    /** Returns the machines of the initial fleet that a fault applies to. */
    public List<Integer> affectedServers(Experiment.Fault fault) {
        return select(fault.name(), Selector.of(fault.target(), experiment.topology()), "server",
            IntStream.range(0, experiment.topology().servers()).boxed().toList());
    }

    /** Returns the numbers that a selector covers; a percentage is drawn from the stream of the fault. */
    private List<Integer> select(String faultName, Selector selector, String ownKind, List<Integer> all) {
        return switch (selector.kind()) {
            case "share" -> {
                List<Integer> shuffled = new ArrayList<>(all);
                UniformRandomProvider random = streams.of("fault " + faultName);
                ListSampler.shuffle(random, shuffled);
                int count = (int) Math.max(1, Math.round(Double.parseDouble(selector.name()) * all.size()));
                yield shuffled.subList(0, count).stream().sorted().toList();
            }
            case "zone" -> all.stream().filter(i -> zone(i).equals(selector.name())).toList();
            case "region" -> all.stream()
                .filter(i -> experiment.topology().region(zone(i)).equals(selector.name())).toList();
            case "edge", "server" -> selector.kind().equals(ownKind)
                ? List.of(Integer.parseInt(selector.name())) : List.of();
            default -> all;
        };
    }

    /** Returns the hash of everything that was drawn, in hexadecimal digits. */
    public String hash() {
        return hash;
    }

    /**
     * Hashes the text forms of all drawn values. Any change of these texts changes the hashes of all plans.
     */
    private String computeHash() {
        MessageDigest digest = RandomStreams.sha256();
        customers.forEach(customer -> addLine(digest, customer.toString()));
        arrivals.forEach(arrival -> {
            addLine(digest, arrival.atMs() + " " + arrival.id() + " " + arrival.customerIndex() + " "
                + arrival.classIndex() + " " + arrival.units() + " " + arrival.workMs() + " "
                + arrival.idempotencyKey());
            for (Arrival.Try drawnTry : arrival.tries()) {
                addLine(digest, drawnTry.toString());
            }
        });
        for (int i = 0; i < experiment.topology().servers(); i++) {
            addLine(digest, machine(i, zone(i)).toString());
        }
        for (Experiment.Fault fault : experiment.faults()) {
            addLine(digest, fault.toString());
            // the target of a list-* fault may be the leader, which is known only when the fault begins
            if (fault.target() != null && !fault.kind().startsWith("list-")) {
                addLine(digest, affectedEdges(fault) + " " + affectedServers(fault));
            }
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 12);
    }

    private static void addLine(MessageDigest digest, String line) {
        digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
