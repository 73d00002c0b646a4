package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Resources;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses machines by best fit over a random sample. Candidates are sampled until enough suitable ones are found or all
 * were examined.
 */
public final class BestFit {
    /** Sample size if capacity stays rented anyway: a small sample spreads the tasks, and so caches images widely. */
    static final int SMALL_SAMPLE_SIZE = 3;
    /** Sample size if idle machines are scaled in: widely spread tasks would keep every machine in use. */
    static final int LARGE_SAMPLE_SIZE = 16;
    /** An image fetch costs more than any difference in free capacity. */
    private static final double FETCH_WEIGHT = 10;

    /** Cost per second of an image fetch, so that a long fetch costs more than a short one. */
    private static final double FETCH_SECOND_WEIGHT = 1;
    /** Keeps on-demand machines free for tasks that may not run on spot machines. */
    private static final double ON_DEMAND_WEIGHT = 2;

    /** Keeps capacity of the fuller zone free for jobs that must spread over zones. */
    private static final double ZONE_WEIGHT = 4;

    private final SplittableRandom random;
    private final int sampleSize;
    private Map<String, Double> zoneUtilization = Map.of();
    private long machinesExamined;

    /** @param capacityReserved whether capacity stays rented regardless of demand */
    public BestFit(SplittableRandom random, boolean capacityReserved) {
        this.random = random;
        this.sampleSize = capacityReserved ? SMALL_SAMPLE_SIZE : LARGE_SAMPLE_SIZE;
    }

    /** Returns the number of machines examined since the last call, and resets it. */
    long takeMachinesExamined() {
        long taken = machinesExamined;
        machinesExamined = 0;
        return taken;
    }

    /** Sets the utilization of each zone's on-demand machines, from 0 to 1. */
    void zoneUtilization(Map<String, Double> utilizationByZone) {
        zoneUtilization = utilizationByZone;
    }

    /**
     * Returns the machine for one more task of the job, or null if no candidate can run it. A sampled machine that
     * can't run the task is removed from the candidates: free capacity only shrinks within a pass, so the machine can't
     * run the job's next task either. A machine is thus rejected at most once for a job. The result is nullable instead
     * of an Optional, since this is the innermost loop of the scheduler.
     */
    public Machine chooseMachine(Job job, List<Machine> candidates, Predicate<Machine> allowed, long now) {
        Machine best = null;
        double bestCost = Double.MAX_VALUE;
        int found = 0;
        // Sampling continues until enough suitable machines are found. If there are none, all candidates are scanned.
        while (found < candidates.size() && found < sampleSize) {
            int pick = found + random.nextInt(candidates.size() - found);
            Machine machine = candidates.get(pick);
            machinesExamined++;
            if (!job.spec().demand().fitsIn(machine.freeCapacity()) || !allowed.test(machine)) {
                Machine last = candidates.remove(candidates.size() - 1);
                if (pick < candidates.size()) {
                    candidates.set(pick, last);
                }
                continue;
            }
            candidates.set(pick, candidates.get(found));
            candidates.set(found, machine);
            found++;
            double cost = placementCost(job.spec(), machine, now)
                    + ZONE_WEIGHT * zoneUtilization.getOrDefault(machine.zone(), 0.0);
            if (cost < bestCost || (cost == bestCost && machine.id().compareTo(best.id()) < 0)) {
                best = machine;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * The lower the cost, the better: little capacity is left over, the image is cached, and spot tasks run on spot.
     */
    static double placementCost(JobSpec job, Machine machine, long now) {
        Resources size = machine.type().size();
        Resources left = machine.freeCapacity().minus(job.demand());
        double cost = fraction(left.cpus(), size.cpus())
                + fraction(left.gpus(), size.gpus())
                + fraction(left.memoryGb(), size.memoryGb());
        if (!machine.hasImage(job.image())) {
            cost += FETCH_WEIGHT + FETCH_SECOND_WEIGHT * machine.imageFetchS(job.image(), job.imageGb(), now);
        }
        if (job.spotAllowed() && !machine.spot()) {
            cost += ON_DEMAND_WEIGHT;
        }
        return cost;
    }

    private static double fraction(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }
}
