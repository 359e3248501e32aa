package barleyfall.lab.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Models cores that running jobs share equally (processor sharing; a job uses at most one core), with a
 * first-in first-out queue for the jobs that find no slot. The caller supplies the time, in ms; work is in ms
 * of a core of speed 1. Overheads such as handshakes take capacity before the jobs do.
 */
final class Processor<J> {
    /** A job with less work left than this is done. */
    private static final double WORK_EPSILON_MS = 1e-9;
    /**
     * The longest step over which the speed is taken as constant; a cold machine gets faster in the meantime.
     */
    private static final double MAX_STEP_MS = 20;

    /** A job with its remaining work. */
    private static final class Entry<J> {
        final J job;
        double remainingMs;

        Entry(J job, double remainingMs) {
            this.job = job;
            this.remainingMs = remainingMs;
        }
    }

    private final int cores;
    private final int slots;
    private final int maxWaiting;
    private final DoubleUnaryOperator speed;
    private final List<Entry<J>> running = new ArrayList<>();
    private final List<Entry<J>> waiting = new ArrayList<>();
    private double currentMs;
    private double overheadMs;
    private double busyCoreMs;

    /**
     * Creates an idle processor.
     *
     * @param slots jobs that run at a time
     * @param speed returns the work per ms of one core at a time, with all effects included
     */
    Processor(int cores, int slots, int maxWaiting, DoubleUnaryOperator speed, double nowMs) {
        this.cores = cores;
        this.slots = slots;
        this.maxWaiting = maxWaiting;
        this.speed = speed;
        currentMs = nowMs;
    }

    /** Runs the model up to a time and adds the jobs that are done by then to a list. */
    void advance(double nowMs, List<J> finished) {
        if (running.isEmpty() && overheadMs == 0) {
            currentMs = Math.max(currentMs, nowMs); // idle: no steps needed
        }
        while (currentMs < nowMs) {
            double stepMs = Math.min(nowMs - currentMs, Math.min(MAX_STEP_MS, msUntilNextCompletion()));
            runStep(stepMs);
            currentMs += stepMs;
            collectFinished(finished);
        }
    }

    /** Runs one step at constant speed. */
    private void runStep(double stepMs) {
        double coreSpeed = speed.applyAsDouble(currentMs);
        double capacityMs = cores * coreSpeed * stepMs;
        double overheadDoneMs = Math.min(overheadMs, capacityMs);
        overheadMs -= overheadDoneMs;
        double usedMs = overheadDoneMs;
        if (!running.isEmpty() && capacityMs > 0) {
            double perJobMs = Math.min(coreSpeed * stepMs, (capacityMs - overheadDoneMs) / running.size());
            for (Entry<J> entry : running) {
                entry.remainingMs -= perJobMs;
                usedMs += perJobMs;
            }
        }
        busyCoreMs += capacityMs > 0 ? stepMs * cores * Math.min(1, usedMs / capacityMs) : 0;
    }

    /** Moves finished jobs to the list and starts waiting ones. */
    private void collectFinished(List<J> finished) {
        for (Iterator<Entry<J>> entries = running.iterator(); entries.hasNext();) {
            Entry<J> entry = entries.next();
            if (entry.remainingMs <= WORK_EPSILON_MS) {
                entries.remove();
                finished.add(entry.job);
            }
        }
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.remove(0));
        }
    }

    /** Returns the time until the next job is done if nothing changes, infinity if none runs. */
    double msUntilNextCompletion() {
        if (running.isEmpty()) {
            return overheadMs > 0 ? MAX_STEP_MS : Double.POSITIVE_INFINITY;
        }
        double coreSpeed = speed.applyAsDouble(currentMs);
        if (!(coreSpeed > 0)) {
            return Double.POSITIVE_INFINITY;
        }
        double leastRemainingMs = Double.POSITIVE_INFINITY;
        for (Entry<J> entry : running) {
            leastRemainingMs = Math.min(leastRemainingMs, entry.remainingMs);
        }
        double perJobMs = coreSpeed * Math.min(1, cores / (double) running.size());
        return Math.max(1e-6, overheadMs / (coreSpeed * cores) + leastRemainingMs / perJobMs);
    }

    /** Adds a job; returns false if the queue is full. */
    boolean add(J job, double workMs) {
        if (running.size() >= slots && waiting.size() >= maxWaiting) {
            return false;
        }
        waiting.add(new Entry<>(job, workMs));
        startWaiting();
        return true;
    }

    /** Removes a job that still waits; returns false if it runs, is done or was never added. */
    boolean removeWaiting(J job) {
        return waiting.removeIf(entry -> entry.job == job);
    }

    /** Adds work that has precedence over all jobs. */
    void addOverhead(double workMs) {
        overheadMs += workMs;
    }

    /** Returns the number of running and waiting jobs. */
    int jobCount() {
        return running.size() + waiting.size();
    }

    /** Returns the busy core time in ms since the last call. */
    double takeBusyCoreMs() {
        double busy = busyCoreMs;
        busyCoreMs = 0;
        return busy;
    }
}
