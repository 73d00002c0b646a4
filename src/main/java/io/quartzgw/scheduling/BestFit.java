package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Resources;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Best fit over a random sample of the machines with free capacity; scans all of them when the sample has none. */
public final class BestFit {
    /**
     * Sample size where capacity stays reserved in any case: a small sample spreads tasks, and with them the images.
     */
    static final int SMALL_SAMPLE_SIZE = 3;
    /** Sample size where idle machines are scaled in: tasks that are spread thinly would keep every machine. */
    static final int LARGE_SAMPLE_SIZE = 16;
    /** An image fetch costs more than any difference in free capacity, a long one more than a short one. */
    private static final double FETCH_WEIGHT = 10;

    private static final double FETCH_SECOND_WEIGHT = 1;
    /** Tasks that may run on spot machines leave on-demand machines to those that may not. */
    private static final double ON_DEMAND_WEIGHT = 2;

    /** Tasks that may run in any zone leave the fuller zone to jobs that have to spread. */
    private static final double ZONE_WEIGHT = 4;

    private final SplittableRandom random;
    private final int sampleSize;
    private Map<String, Double> zoneUtilization = Map.of();
    private long machinesExamined;

    /** @param capacityReserved whether capacity stays rented whatever the demand */
    public BestFit(SplittableRandom random, boolean capacityReserved) {
        this.random = random;
        this.sampleSize = capacityReserved ? SMALL_SAMPLE_SIZE : LARGE_SAMPLE_SIZE;
    }

    /** How many machines were examined since the last call. */
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
     * Chooses the machine for one more task of the job, or null when no candidate has enough free capacity. A sampled
     * machine that can't run the task is removed from the candidates: within one pass free capacity only shrinks, so it
     * can't run the next task of the job either, and a whole job examines each machine at most once. The result is
     * nullable, not an Optional, since this is the innermost loop of the scheduler.
     */
    public Machine chooseMachine(Job job, List<Machine> candidates, Predicate<Machine> allowed, long now) {
        Machine best = null;
        double bestCost = Double.MAX_VALUE;
        int found = 0;
        // Sampling goes on until enough suitable machines were found: without any, this becomes a scan of all.
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

    /** Lower is better: little capacity left over, the image cached, and the right kind of machine. */
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
