package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.Selector;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.OneWayLink;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Injects the faults of the network links between the edge nodes and the other parties. */
final class LinkFaults {
    /** A link that a fault applies to, with the directions that it applies to. */
    private record AffectedLink(Link link, int edge, boolean toFront, boolean fromEdge, boolean toEdge) {
        List<OneWayLink> directions() {
            List<OneWayLink> directions = new ArrayList<>();
            if (fromEdge) {
                directions.add(link.toPeer());
            }
            if (toEdge) {
                directions.add(link.toEdge());
            }
            return directions;
        }
    }

    private final Plan plan;
    private final LabEnvironment environment;
    private final LabClock clock;
    private final Consumer<Event> trace;
    private final Map<String, List<AffectedLink>> affectedByFault = new HashMap<>();

    LinkFaults(Plan plan, LabEnvironment environment, LabClock clock, Consumer<Event> trace) {
        this.plan = plan;
        this.environment = environment;
        this.clock = clock;
        this.trace = trace;
    }

    /** Begins a fault. */
    synchronized void begin(Experiment.Fault fault) {
        List<AffectedLink> affected = affectedLinks(fault);
        affectedByFault.put(fault.name(), affected);
        for (AffectedLink affectedLink : affected) {
            switch (fault.kind()) {
                case "cut" -> setCut(affectedLink, true);
                case "reset" -> affectedLink.link().reset();
                case "delay" -> affectedLink.directions()
                    .forEach(direction -> direction.addDelay(fault.size()));
                case "throttle" -> affectedLink.directions()
                    .forEach(direction -> direction.setBandwidth(fault.size()));
                case "loss" -> affectedLink.directions()
                    .forEach(direction -> direction.setLossFraction(fault.size()));
                default -> throw new IllegalStateException(fault.kind());
            }
        }
    }

    /** Ends a fault. */
    synchronized void end(Experiment.Fault fault) {
        for (AffectedLink affectedLink : affectedByFault.getOrDefault(fault.name(), List.of())) {
            switch (fault.kind()) {
                case "cut" -> setCut(affectedLink, false);
                case "delay" -> affectedLink.directions()
                    .forEach(direction -> direction.addDelay(-fault.size()));
                case "throttle" -> affectedLink.directions()
                    .forEach(direction -> direction.setBandwidth(Double.POSITIVE_INFINITY));
                default -> affectedLink.directions().forEach(direction -> direction.setLossFraction(0));
            }
        }
    }

    private void setCut(AffectedLink affectedLink, boolean cut) {
        affectedLink.link().setCut(cut, affectedLink.fromEdge(), affectedLink.toEdge());
        if (affectedLink.toFront()) {
            trace.accept(new Event.Fault(clock.nowMs(), "cut", "door", cut, "n" + affectedLink.edge()));
        }
    }

    private List<AffectedLink> affectedLinks(Experiment.Fault fault) {
        List<AffectedLink> affected = new ArrayList<>();
        for (int edge = 0; edge < plan.experiment().topology().edges(); edge++) {
            for (int server = 0; server < environment.servers.size(); server++) {
                addIfAffected(fault, affected, edge, environment.servers.link(edge, server), "server", server,
                    environment.servers.machine(server).zone());
            }
            addIfAffected(fault, affected, edge, environment.toCounter.get(edge), "counter", 0, plan.zone(0));
            for (Link toDiscovery : environment.toDiscovery.get(edge)) {
                addIfAffected(fault, affected, edge, toDiscovery, "discovery", 0, null);
            }
            addIfAffected(fault, affected, edge, environment.toFront.get(edge), "front", 0, null);
        }
        return affected;
    }

    private void addIfAffected(Experiment.Fault fault, List<AffectedLink> affected, int edge, Link link,
        String party, int number, String zone) {
        Experiment.Topology topology = plan.experiment().topology();
        Selector from = Selector.of(fault.from(), topology);
        Selector to = Selector.of(fault.to(), topology);
        boolean edgeFrom = from.matches("edge", edge, plan.zone(edge), topology);
        boolean partyFrom = from.matches(party, number, zone, topology);
        boolean edgeTo = matchesTarget(from, to, "edge", edge, plan.zone(edge), topology);
        boolean partyTo = matchesTarget(from, to, party, number, zone, topology);
        boolean fromEdge = edgeFrom && partyTo;
        boolean toEdge = partyFrom && edgeTo;
        if (fault.bothWays() && (fromEdge || toEdge)) {
            fromEdge = true;
            toEdge = true;
        }
        if (fromEdge || toEdge) {
            affected.add(new AffectedLink(link, edge, party.equals("front"), fromEdge, toEdge));
        }
    }

    /** Returns whether a party is on the target side; "others" means all that the source does not match. */
    private static boolean matchesTarget(Selector from, Selector to, String party, int number, String zone,
        Experiment.Topology topology) {
        return to.kind().equals("others") ? zone != null && !from.matches(party, number, zone, topology)
            : to.matches(party, number, zone, topology);
    }
}
