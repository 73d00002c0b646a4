package io.quartzgw.fleet;

import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The slots of running batch tasks, each of which becomes free when its task ends. Pending tasks that can run in a slot
 * one after the other and still meet their deadline need no new machine.
 */
final class ReusableSlots {
    /** A safety factor for runtime estimates, which are too low as often as too high. */
    private static final double ESTIMATE_MARGIN = 1.25;

    private final long now;
    /** The times at which the slots of running batch tasks become free, by machine. */
    private final Map<Machine, List<Long>> slotFreeTimes = new LinkedHashMap<>();

    ReusableSlots(Iterable<Machine> machines, long now) {
        this.now = now;
        for (Machine machine : machines) {
            List<Long> freeTimes = new ArrayList<>();
            for (Allocation allocation : machine.allocations()) {
                if (!allocation.job().spec().service() && !allocation.stopping()) {
                    double remainingMs =
                            allocation.job().spec().estimateS() * 1000 * ESTIMATE_MARGIN - allocation.runtimeMs(now);
                    freeTimes.add(now + (long) Math.max(0, remainingMs));
                }
            }
            slotFreeTimes.put(machine, freeTimes);
        }
    }

    /** Takes slots for up to {@code count} tasks of a job that meet its deadline, and returns for how many. */
    int takeSlots(Job job, int count) {
        if (job.dueAt() == Long.MAX_VALUE) {
            return 0;
        }
        long runtimeMs = (long) (job.spec().estimateS() * 1000 * ESTIMATE_MARGIN);
        int taken = 0;
        for (Map.Entry<Machine, List<Long>> entry : slotFreeTimes.entrySet()) {
            Machine machine = entry.getKey();
            if (!job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                    || !job.zoneAllowed(machine.zone())) {
                continue;
            }
            List<Long> freeTimes = entry.getValue();
            for (int i = 0; i < freeTimes.size(); i++) {
                while (taken < count && freeTimes.get(i) + runtimeMs <= job.dueAt()) {
                    freeTimes.set(i, Math.max(now, freeTimes.get(i)) + runtimeMs);
                    taken++;
                }
            }
        }
        return taken;
    }
}
