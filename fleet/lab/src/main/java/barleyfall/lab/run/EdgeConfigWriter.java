package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Writes the configuration file of an edge node in the form that the platform uses. */
final class EdgeConfigWriter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double TICK_MS = 4;
    private static final double ANSWER_GRACE_MS = 16;

    private EdgeConfigWriter() { }

    /**
     * Returns the configuration as JSON.
     *
     * @param discovery where the edge node finds discovery, one address or several
     * @param knownList the list that the edge node starts with
     */
    static String write(Plan plan, int edge, AddressBlock addresses, long seed, List<String> discovery,
        ObjectNode knownList) {
        Experiment experiment = plan.experiment();
        ObjectNode root = JSON.createObjectNode().put("name", "n" + edge)
            .put("listen", AddressBlock.hostAndPort(addresses.edge(edge)))
            .put("control", AddressBlock.hostAndPort(addresses.control(edge)))
            .put("counter", AddressBlock.hostAndPort(addresses.counter(edge)))
            .put("seed", String.format("%016x", seed));
        if (discovery.size() == 1) {
            root.put("discovery", discovery.get(0));
        } else {
            discovery.forEach(root.putArray("discovery")::add);
        }
        Experiment.Limits limits = experiment.limits();
        root.putObject("limits").put("cores", limits.cores() > 0 ? limits.cores() : 1)
            .put("memory_mb", limits.memoryMb()).put("sockets", limits.descriptors());
        root.set("known", knownList);
        root.set("settings", settings(plan, edge));
        return root.toPrettyString();
    }

    private static ObjectNode settings(Plan plan, int edge) {
        Experiment experiment = plan.experiment();
        ObjectNode settings = JSON.createObjectNode().put("rank", edge)
            .put("group_size", experiment.topology().edges())
            .put("family", "gate").put("my_zone", plan.zone(edge)).put("tick", TICK_MS).put("tier", 0)
            .put("discovery", "pushed").put("weight_kind", "none");
        ArrayNode zones = settings.putArray("azs");
        experiment.topology().zones().forEach(zones::add);
        settings.putArray("kinds").add("lab");
        settings.putArray("tiers").add("flag-servers");
        settings.putObject("client_habits").put("marks_retry", true);
        settings.putObject("contract").put("ask_within", 10_000)
            .put("cold_share", experiment.servers().coldSpeedFraction().from())
            .put("drain_grace", 1000).put("grace_to_answer", ANSWER_GRACE_MS)
            .put("overload_factor", experiment.servers().overloadFactor())
            .put("overload_for", experiment.servers().overloadWindowMs())
            .put("warm_after", experiment.servers().warmUpMs().to());
        settings.putObject("family_info").put("count_limit", experiment.counter().timeoutMs())
            .put("counter_price", 0.01).put("meter_period", 0).put("most_units", experiment.load().maxUnits())
            .put("peer_in_per_s", 0)
            .put("shared_counter", true).put("trued_up", false);
        ObjectNode feedback = settings.putObject("feedback").put("via", "answers");
        feedback.putArray("fields").add("throughput").add("outstanding").add("utilization");
        settings.putObject("goal").put("whole", 0.55).put("worst_class", 0).put("worst_tenant", 0.25)
            .put("worst_window", 0.2);
        settings.putObject("limits").put("cancelling", true).put("connect_timeout", 250)
            .put("keepalive", experiment.servers().idleTimeoutMs()).put("max_open", 20_000)
            .put("max_retry_after", 500).put("parallel_tries", true).put("peers", false).put("probing", true)
            .put("retry_after", true)
            .put("send_cap", 6).put("streams_per_conn", 32).put("cpu_us_per_request", 0);
        settings.putObject("prices").put("connection", 0).put("cross_zone", 0.01).put("discovery", 0)
            .put("handshake", 0).put("late_fail", 0.08).put("moves", 0).put("origin", 0).put("peer", 0)
            .put("probe", 0.01)
            .put("waste", 0.05);
        ArrayNode classes = settings.putArray("request_classes");
        for (Experiment.RequestClass requestClass : experiment.classes()) {
            String effect = switch (requestClass.effect()) {
                case "safe" -> "read_like";
                case "keyed" -> "idempotency_key";
                default -> "non_idempotent";
            };
            classes.addObject().put("name", requestClass.name()).put("aim", requestClass.aimMs())
                .put("effect", effect).put("group", "all")
                .put("hard_limit", requestClass.deadlineMs()).put("late_share", requestClass.lateShare())
                .put("repeat_window", requestClass.repeatWindowMs())
                .put("stream", false).put("worth", requestClass.worth());
        }
        ArrayNode plans = settings.putArray("tariffs");
        for (Experiment.Plan customerPlan : experiment.plans()) {
            plans.addObject().put("name", customerPlan.name())
                .put("per_second", customerPlan.unitsPerSecond()).put("depth", customerPlan.burstUnits())
                .put("open", 0).put("price", customerPlan.price()).put("extra_worth", 0)
                .put("over_cost", customerPlan.overCost())
                .put("hard_rate", customerPlan.ceilingUnitsPerSecond())
                .put("ceiling_burst", customerPlan.ceilingBurstUnits())
                .put("cap_slack", customerPlan.ceilingSlackUnits(experiment.load().maxUnits()));
        }
        return settings;
    }
}
