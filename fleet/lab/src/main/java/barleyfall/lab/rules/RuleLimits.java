package barleyfall.lab.rules;

import barleyfall.lab.experiment.Experiment;
import java.util.List;

/**
 * The limits that the rules check against.
 *
 * @param maxUnits most units that one request costs
 * @param maxAttempts most attempts that one request may take
 * @param drainGraceMs time after which an edge node sends nothing new to a server that it was told is
 *     draining
 * @param slackMs added to every limit for delays in the sockets
 * @param lateAnswerMs how long after the client's deadline a response may still come (it earns nothing)
 * @param ceilingSpanMs tolerance beyond a plan's slack, as time at the ceiling's rate
 * @param knowingWorkFraction part of the work sent to a cold server, from edge nodes that knew of its start,
 *     from which on its overload is their fault
 */
public record RuleLimits(List<Experiment.RequestClass> classes, List<Experiment.Plan> plans, int maxUnits,
    int maxAttempts, double drainGraceMs, double slackMs, double lateAnswerMs, double ceilingSpanMs,
    double knowingWorkFraction) {

    /** Returns the platform's limits with the request classes and plans of an experiment. */
    public static RuleLimits of(Experiment experiment) {
        return new RuleLimits(experiment.classes(), experiment.plans(), experiment.load().maxUnits(), 6, 1000,
            50, 500, 150, 2.0 / 3);
    }
}
