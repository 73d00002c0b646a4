package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports which machines have free CPUs but get no tasks, why, and since when; and how many jobs wait for the end of
 * their retry delay.
 */
final class ExclusionMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(ExclusionMonitor.class);
    /** Shorter exclusions are not logged: a late heartbeat is enough to cause one. */
    private static final int LOGGED_AFTER_HEARTBEATS = 4;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final SchedulingConstraints constraints;
    private final long loggedAfterMs;
    private Map<Machine, Exclusion> exclusions = new HashMap<>();

    /**
     * A machine's exclusion.
     *
     * @param reason the current reason
     * @param sinceMs when the machine was excluded, for whatever reason
     * @param logged whether it was logged with this reason
     */
    private record Exclusion(ExclusionReason reason, long sinceMs, boolean logged) {}

    /** @param heartbeatMs the agents' heartbeat interval */
    ExclusionMonitor(EventLoop eventLoop, ClusterState cluster, SchedulingConstraints constraints, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.constraints = constraints;
        this.loggedAfterMs = LOGGED_AFTER_HEARTBEATS * heartbeatMs;
    }

    /** Updates the gauges and logs exclusions that have begun, changed or ended. */
    void check() {
        Map<Machine, Exclusion> current = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            Optional<ExclusionReason> reason = constraints.exclusionReason(machine);
            if (reason.isPresent() && machine.freeCapacity().cpus() > 0) {
                current.put(machine, observe(machine, reason.get()));
            } else {
                logEnd(machine);
            }
        }
        exclusions = current;
        publishMachines();
        publishDelayedJobs();
    }

    /** Resets the gauges, when this controller no longer leads. */
    void clear() {
        exclusions = new HashMap<>();
        publishMachines();
        publishDelays(0, 0);
    }

    private Exclusion observe(Machine machine, ExclusionReason reason) {
        Exclusion previous = exclusions.get(machine);
        long sinceMs = previous == null ? eventLoop.nowMs() : previous.sinceMs();
        if (previous != null && previous.logged() && previous.reason() == reason) {
            return previous;
        }
        boolean logged = eventLoop.nowMs() - sinceMs >= loggedAfterMs;
        if (logged) {
            LOG.atInfo()
                    .addKeyValue("machine", machine.id())
                    .addKeyValue("reason", reason)
                    .addKeyValue("excluded_ms", eventLoop.nowMs() - sinceMs)
                    .addKeyValue("free_cpus", machine.freeCapacity().cpus())
                    .log("machine excluded");
        }
        return new Exclusion(reason, sinceMs, logged);
    }

    private void logEnd(Machine machine) {
        Exclusion ended = exclusions.get(machine);
        if (ended != null && ended.logged()) {
            LOG.atInfo()
                    .addKeyValue("machine", machine.id())
                    .addKeyValue("reason", ended.reason())
                    .addKeyValue("excluded_ms", eventLoop.nowMs() - ended.sinceMs())
                    .log("machine exclusion ended");
        }
    }

    private void publishMachines() {
        Map<ExclusionReason, Long> machines = new EnumMap<>(ExclusionReason.class);
        long oldestMs = 0;
        for (Exclusion exclusion : exclusions.values()) {
            machines.merge(exclusion.reason(), 1L, Long::sum);
            oldestMs = Math.max(oldestMs, eventLoop.nowMs() - exclusion.sinceMs());
        }
        for (ExclusionReason reason : ExclusionReason.values()) {
            eventLoop.setGauge(reason.gauge(), machines.getOrDefault(reason, 0L));
        }
        eventLoop.setGauge("excluded.machines", exclusions.size());
        eventLoop.setGauge("excluded.oldest_ms", oldestMs);
    }

    private void publishDelayedJobs() {
        long jobs = 0;
        long longestMs = 0;
        for (Job job : cluster.pendingJobs()) {
            long remainingMs = job.retryAt() - eventLoop.nowMs();
            if (remainingMs > 0) {
                jobs++;
                longestMs = Math.max(longestMs, remainingMs);
            }
        }
        publishDelays(jobs, longestMs);
    }

    private void publishDelays(long jobs, long longestMs) {
        eventLoop.setGauge("delayed.jobs", jobs);
        eventLoop.setGauge("delayed.longest_ms", longestMs);
    }
}
