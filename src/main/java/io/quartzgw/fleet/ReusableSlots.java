package io.quartzgw.fleet;

import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How much of the work that lacks room the machines at hand can still finish in time, one task after the other: a job
 * with a deadline needs no new machine for that part.
 */
final class ReusableSlots {
    /** Owners guess too low as often as too high, and machines differ. */
    private static final double ESTIMATE_MARGIN = 1.25;

    private final long now;
    /** When each place for one task is free, by machine; places in use by batch work only. */
    private final Map<Machine, List<Long>> slots = new LinkedHashMap<>();

    ReusableSlots(Iterable<Machine> machines, long now) {
        this.now = now;
        for (Machine machine : machines) {
            List<Long> free = new ArrayList<>();
            for (Allocation booking : machine.allocations()) {
                if (!booking.job().spec().service() && !booking.stopping()) {
                    double left = booking.job().spec().estimateS() * 1000 * ESTIMATE_MARGIN - booking.runtimeMs(now);
                    free.add(now + (long) Math.max(0, left));
                }
            }
            slots.put(machine, free);
        }
    }

    /** Takes places for as many of the tasks as can be finished in time, and returns how many. */
    int take(Job job, int count) {
        if (job.dueAt() == Long.MAX_VALUE) {
            return 0;
        }
        long runMs = (long) (job.spec().estimateS() * 1000 * ESTIMATE_MARGIN);
        int taken = 0;
        for (Map.Entry<Machine, List<Long>> entry : slots.entrySet()) {
            Machine machine = entry.getKey();
            if (!job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                    || !job.zoneAllowed(machine.zone())) {
                continue;
            }
            List<Long> free = entry.getValue();
            for (int i = 0; i < free.size(); i++) {
                while (taken < count && free.get(i) + runMs <= job.dueAt()) {
                    free.set(i, Math.max(now, free.get(i)) + runMs);
                    taken++;
                }
            }
        }
        return taken;
    }
}
