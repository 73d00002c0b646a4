package io.quartzgw.fleet;

import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Capacity of running batch tasks that is free again before a deadline: pending tasks that can use it in time, one
 * after the other, need no new machine.
 */
final class ReusableSlots {
    /** A margin on runtime estimates, which are too low as often as too high. */
    private static final double ESTIMATE_MARGIN = 1.25;

    private final long now;
    /** When the slot of each running batch task is free, by machine. */
    private final Map<Machine, List<Long>> slotFreeTimes = new LinkedHashMap<>();

    ReusableSlots(Iterable<Machine> machines, long now) {
        this.now = now;
        for (Machine machine : machines) {
            List<Long> free = new ArrayList<>();
            for (Allocation allocation : machine.allocations()) {
                if (!allocation.job().spec().service() && !allocation.stopping()) {
                    double remainingMs =
                            allocation.job().spec().estimateS() * 1000 * ESTIMATE_MARGIN - allocation.runtimeMs(now);
                    free.add(now + (long) Math.max(0, remainingMs));
                }
            }
            slotFreeTimes.put(machine, free);
        }
    }

    /** Takes slots for as many of the tasks as meet the job's deadline there, and returns how many. */
    int take(Job job, int count) {
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
            List<Long> free = entry.getValue();
            for (int i = 0; i < free.size(); i++) {
                while (taken < count && free.get(i) + runtimeMs <= job.dueAt()) {
                    free.set(i, Math.max(now, free.get(i)) + runtimeMs);
                    taken++;
                }
            }
        }
        return taken;
    }
}
