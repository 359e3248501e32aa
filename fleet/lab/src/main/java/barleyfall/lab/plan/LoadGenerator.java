package barleyfall.lab.plan;

import barleyfall.lab.experiment.Experiment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Draws the customers and their first tries. A customer's arrivals are a Poisson process whose rate changes
 * with its spikes and with the bursts of the timeline, by thinning (Lewis and Shedler 1979).
 */
final class LoadGenerator {
    private static final double SWING_EVERY = 11_000;
    private static final double SPIKE_LEAST = 1500;
    private static final double SPIKE_MOST = 4800;
    private static final double CALM_LEAST = 8000;
    private static final double CALM_MOST = 19_000;
    /** The part of the time that spikes take, by the four figures above. */
    private static final double SPIKE_SHARE =
        (SPIKE_LEAST + SPIKE_MOST) / (SPIKE_LEAST + SPIKE_MOST + CALM_LEAST + CALM_MOST);
    private static final long CUSTOMERS = 1L << 33;

    /** How a customer's rate runs: times its base rate, and in spikes (start, end) times more. */
    private record Demand(double rate, double spike, List<double[]> spikes) {
        double at(double t) {
            return spikes.stream().anyMatch(s -> t >= s[0] && t < s[1]) ? rate * spike : rate;
        }
    }

    private final Experiment e;
    private final RandomStreams streams;
    private final List<Customer> customers = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Double> works = new ArrayList<>();
    private final Set<Long> ids = new HashSet<>();

    LoadGenerator(Experiment e, RandomStreams streams) {
        this.e = e;
        this.streams = streams;
        e.classes().forEach(c -> works.add(c.workMs().at(streams.of("work of " + c.name()).nextDouble())));
        double meanUnits = meanUnits();
        UniformRandomProvider r = streams.of("customers");
        double left = e.load().requestsPerSecond();
        while (left > 1e-9) {
            left -= customer(r, left, meanUnits);
        }
        hotCustomers();
        arrivals.sort(Comparator.comparingDouble(Arrival::atMs).thenComparingLong(Arrival::id));
    }

    List<Customer> customers() {
        return customers;
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Adds a customer with all its tries; returns the rate it brings, at most what is left. */
    private double customer(UniformRandomProvider r, double left, double meanUnits) {
        int plan = pick(r, e.plans().stream().mapToDouble(p -> p.share() / p.unitsPerSecond()).toArray());
        Experiment.QuotaUse use = e.load().quotaUse();
        double kind = r.nextDouble();
        double share = use.calmFraction().at(r.nextDouble());
        double spike = 1;
        if (kind < use.fullFraction()) {
            share = 0.95;
        } else if (kind < use.fullFraction() + use.heavyFraction()) {
            share = use.heavyFactor().at(r.nextDouble());
        } else if (kind < use.fullFraction() + use.heavyFraction() + use.spikyFraction()) {
            spike = use.spikyFactor().at(r.nextDouble()) / share;
        }
        // the mean over calm times and spikes is what it brings
        double mean = 1 + SPIKE_SHARE * (Math.max(1, spike) - 1);
        double rate = Math.min(left / mean, share * e.plans().get(plan).unitsPerSecond() / meanUnits);
        play(add(r, plan), new Demand(rate, spike, spike > 1 ? spikes(r) : List.of()), 0, e.lengthMs());
        return rate * mean;
    }

    private Customer add(UniformRandomProvider r, int plan) {
        int edges = e.topology().edges();
        int spread = Math.min(edges, Math.max(Math.min(2, edges), (int) Math.round(r.nextDouble() * 2 + 2)));
        Customer c = new Customer(r.nextLong(CUSTOMERS), plan, spread, r.nextInt(edges));
        customers.add(c);
        return c;
    }

    private void hotCustomers() {
        for (Experiment.Fault f : e.faults()) {
            if (f.kind().equals("hot-customer")) {
                UniformRandomProvider r = streams.of("fault " + f.name());
                Customer c = add(r, r.nextInt(e.plans().size()));
                play(c, new Demand(f.size() * e.load().requestsPerSecond(), 1, List.of()), f.at(), f.end());
            }
        }
    }

    private List<double[]> spikes(UniformRandomProvider r) {
        List<double[]> spikes = new ArrayList<>();
        double at = r.nextDouble() * CALM_MOST;
        while (at < e.lengthMs()) {
            double end = at + SPIKE_LEAST + r.nextDouble() * (SPIKE_MOST - SPIKE_LEAST);
            spikes.add(new double[] {at, end});
            at = end + CALM_LEAST + r.nextDouble() * (CALM_MOST - CALM_LEAST);
        }
        return spikes;
    }

    private void play(Customer c, Demand demand, double from, double to) {
        int number = customers.size() - 1;
        UniformRandomProvider r = streams.of("arrivals " + number);
        SharedStateContinuousSampler gap = ZigguratSampler.Exponential.of(r);
        double phase = r.nextDouble() * 2 * Math.PI;
        double most = demand.rate() * Math.max(1, demand.spike()) * (1 + e.load().swingFraction())
            * burst(-1);
        if (!(most > 0)) {
            return;
        }
        double[] weights = weights(c, r);
        double shiftAt = e.load().shiftIntervalMs().at(r.nextDouble());
        for (double t = from + 1000 * gap.sample() / most; t < to; t += 1000 * gap.sample() / most) {
            if (t > shiftAt) {
                weights = weights(c, r);
                shiftAt = t + e.load().shiftIntervalMs().at(r.nextDouble());
            }
            double now = demand.at(t) * (1 + e.load().swingFraction() * Math.sin(2 * Math.PI * t / SWING_EVERY
                + phase))
                * burst(t) * (e.load().rampMs() > 0 ? Math.min(1, 0.1 + 0.9 * t / e.load().rampMs()) : 1);
            if (r.nextDouble() * most < now) {
                arrivals.add(arrival(t, number, c, weights, r));
            }
        }
    }

    /** How many times the load is asked for at t, by the timeline; the most of all times for a negative t. */
    private double burst(double t) {
        return e.faults().stream().filter(f -> f.kind().equals("burst"))
            .filter(f -> t < 0 || t >= f.at() && t < f.end()).mapToDouble(Experiment.Fault::size)
            .reduce(1, (a, b) -> a * b);
    }

    private double[] weights(Customer c, UniformRandomProvider r) {
        double[] weights = new double[c.spread()];
        int busiest = r.nextInt(c.spread());
        for (int i = 0; i < weights.length; i++) {
            weights[(busiest + i) % weights.length] = Math.pow(i + 1, -e.load().skew());
        }
        return weights;
    }

    private Arrival arrival(double t, int number, Customer c, double[] weights, UniformRandomProvider r) {
        int type = pick(r, e.classes().stream().mapToDouble(Experiment.RequestClass::share).toArray());
        double work = work(type, r);
        Arrival.Try[] tries = new Arrival.Try[1 + e.load().maxRetries()];
        for (int i = 0; i < tries.length; i++) {
            int edge = (c.first() + pick(r, weights)) % e.topology().edges();
            tries[i] = new Arrival.Try(newId(r), edge, e.load().patienceFraction().at(r.nextDouble()),
                0.5 + r.nextDouble(), r.nextDouble() < e.load().honoursBusyFraction());
        }
        return new Arrival(t, tries[0].id(), number, type, units(type, work), work, r.nextLong(), tries);
    }

    private long newId(UniformRandomProvider r) {
        long id = r.nextLong();
        while (!ids.add(id)) {
            id = r.nextLong();
        }
        return id;
    }

    /** Lognormal with the class's mean and coefficient of variation. */
    private double work(int type, UniformRandomProvider r) {
        double cv = e.classes().get(type).workVariation();
        double sigma2 = Math.log(1 + cv * cv);
        if (sigma2 == 0) {
            return works.get(type);
        }
        return LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(r),
            Math.log(works.get(type)) - sigma2 / 2, Math.sqrt(sigma2)).sample();
    }

    private int units(int type, double work) {
        return (int) Math.min(e.load().maxUnits(), 1 + Math.floor(work / works.get(type)));
    }

    private double meanUnits() {
        UniformRandomProvider r = streams.of("units");
        double[] shares = e.classes().stream().mapToDouble(Experiment.RequestClass::share).toArray();
        int draws = 2000;
        double sum = 0;
        for (int i = 0; i < draws; i++) {
            int type = pick(r, shares);
            sum += units(type, work(type, r));
        }
        return sum / draws;
    }

    /** An index, each with a chance in proportion to its weight. */
    private static int pick(UniformRandomProvider r, double[] weights) {
        double sum = 0;
        for (double w : weights) {
            sum += w;
        }
        double at = r.nextDouble() * sum;
        for (int i = 0; i < weights.length - 1; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
