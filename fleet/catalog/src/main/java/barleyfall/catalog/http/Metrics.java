package barleyfall.catalog.http;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.Health;
import barleyfall.catalog.replica.Replica;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/** The metrics of one replica, in the Prometheus text format. */
final class Metrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter responses;

    Metrics(Replica replica, Watches watches) {
        gauge("catalog_version", "version (seq) of the list here", () -> replica.list().seq());
        gauge("catalog_epoch", "epoch of the list: counts restores", () -> replica.list().epoch());
        gauge("catalog_oldest_version", "oldest version that a watch can resume from",
            () -> replica.list().oldestSeq());
        gauge("catalog_age_seconds", "for how long this replica can have missed changes",
            () -> replica.ageMs() / 1000.0);
        gauge("catalog_stale", "1 where it says that its list is old", () -> replica.stale() ? 1 : 0);
        gauge("catalog_leads", "1 where this replica leads",
            () -> replica.roleName().equals("LEADER") ? 1 : 0);
        gauge("catalog_has_leader", "1 where it knows of a leader", () -> replica.leader() == null ? 0 : 1);
        gauge("catalog_guard_holds", "1 while the guard against mass loss holds leases",
            () -> replica.list().hold() == null ? 0 : 1);
        gauge("catalog_guard_missing", "members that were missing when the guard took hold", () -> {
            Command.Hold hold = replica.list().hold();
            return hold == null ? 0 : hold.missing();
        });
        gauge("catalog_watches", "open watches", watches::openCount);
        CounterWithCallback.builder().name("catalog_watches_cut_off_total")
            .help("watches that took nothing for too long")
            .callback(callback -> callback.call(watches.stalledCount())).register(registry);
        GaugeWithCallback.builder().name("catalog_members").help("members by health").labelNames("health")
            .callback(callback -> {
                for (Health health : new Health[] {Health.ACTIVE, Health.LEAVING}) {
                    callback.call(replica.list().members().stream()
                        .filter(member -> member.health() == health).count(), health.wireName());
                }
            }).register(registry);
        responses = Counter.builder().name("catalog_answers_total").help("answers by request and status")
            .labelNames("request", "status").register(registry);
    }

    private void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder().name(name).help(help)
            .callback(callback -> callback.call(value.getAsDouble())).register(registry);
    }

    /** Counts a response by the name of its request and its status. */
    void countResponse(String request, int status) {
        responses.labelValues(request, Integer.toString(status)).inc();
    }

    /** The metrics in the Prometheus text format. */
    byte[] text() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
        return out.toByteArray();
    }
}
