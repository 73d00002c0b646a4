package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Resources;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Samples a few machines with room and takes the best fit; looks at all when the sample has none. */
public final class BestFit {
    /** How many machines with room are compared where they are there in any case: spread out, images spread too. */
    static final int SMALL_SAMPLE = 3;
    /** The same where a machine that stays empty is returned: what is spread thinly over a fleet keeps it all. */
    static final int LARGE_SAMPLE = 16;
    /** A fetch of the image weighs more than any difference in room, a long one more than a short one. */
    private static final double FETCH_WEIGHT = 10;

    private static final double FETCH_SECOND_WEIGHT = 1;
    /** Work that may run on spot machines leaves the others to work that may not. */
    private static final double ON_DEMAND_WEIGHT = 2;

    /** Work that may go to any zone leaves the fuller one to work that has to spread. */
    private static final double ZONE_WEIGHT = 4;

    private final SplittableRandom random;
    private final int sampleSize;
    private Map<String, Double> zoneUtilization = Map.of();
    private long machinesExamined;

    /** @param roomIsKept whether room is kept rented whatever the demand */
    public BestFit(SplittableRandom random, boolean roomIsKept) {
        this.random = random;
        this.sampleSize = roomIsKept ? SMALL_SAMPLE : LARGE_SAMPLE;
    }

    /** How many machines were looked at since this was last asked. */
    long takeMachinesExamined() {
        long taken = machinesExamined;
        machinesExamined = 0;
        return taken;
    }

    /** Takes how much of each zone's room is in use, from 0 to 1. */
    void zoneUtilization(Map<String, Double> shares) {
        zoneUtilization = shares;
    }

    /**
     * The machine for one more task of the job, or null when none of these has room. A machine that is drawn and can't
     * take the task leaves the list: within one pass rooms only shrink, so it can't take the next task of the job
     * either, and a whole job costs one look at each machine at the most.
     */
    public Machine choose(Job job, List<Machine> candidates, Predicate<Machine> allowed, long now) {
        Machine best = null;
        double bestCost = Double.MAX_VALUE;
        int found = 0;
        // Drawing goes on until enough machines with room were found: with no room in the sample this
        // becomes the scan of all.
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
            double cost =
                    cost(job.spec(), machine, now) + ZONE_WEIGHT * zoneUtilization.getOrDefault(machine.zone(), 0.0);
            if (cost < bestCost || cost == bestCost && machine.id().compareTo(best.id()) < 0) {
                best = machine;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Lower is better: little room left over, the image there, and the right kind of machine. */
    static double cost(JobSpec job, Machine machine, long now) {
        Resources size = machine.type().size();
        Resources left = machine.freeCapacity().minus(job.demand());
        double cost = share(left.cpus(), size.cpus())
                + share(left.gpus(), size.gpus())
                + share(left.memoryGb(), size.memoryGb());
        if (!machine.hasImage(job.image())) {
            cost += FETCH_WEIGHT + FETCH_SECOND_WEIGHT * machine.fetchS(job.image(), job.imageGb(), now);
        }
        if (job.spotAllowed() && !machine.spot()) {
            cost += ON_DEMAND_WEIGHT;
        }
        return cost;
    }

    private static double share(double left, double of) {
        return of == 0 ? 0 : left / of;
    }
}
