package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Machine;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the number of unfenced attempts and the age of the oldest. Here and in the metrics, these include lost
 * attempts that keep their allocation, not only those in {@link io.quartzgw.scheduling.MachineFencing}.
 *
 * <p>Warns of each attempt of a cancelled job that ended at least half of the cancel limit ago and that its agent may
 * still start. The cancel limit is the time limit for stopping all tasks of a cancelled job. Unresponsive agents are
 * excluded: an agent whose lease has expired rejects the start.
 */
final class UnfencedAttemptsMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(UnfencedAttemptsMonitor.class);
    private static final double WARNING_LIMIT_FRACTION = 0.5;

    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final AgentRegistry registry;
    private final AgentTiming timing;
    private Set<Attempt> warned = new HashSet<>();

    UnfencedAttemptsMonitor(LeaderContext leader, AgentRegistry registry, AgentTiming timing) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.registry = registry;
        this.timing = timing;
    }

    /** Updates the gauges and warns of attempts at risk; reports zeros if the term is not current. */
    void check() {
        if (!leader.term().isCurrent()) {
            publish(0, 0);
            return;
        }
        List<Allocation> unfenced = leader.cluster().machines().stream()
                .flatMap(UnfencedAttemptsMonitor::unfencedOn)
                .toList();
        long oldestMs = unfenced.stream()
                .mapToLong(allocation -> allocation.lostForMs(eventLoop.nowMs()))
                .max()
                .orElse(0);
        publish(unfenced.size(), oldestMs);
        Set<Attempt> atRisk = new HashSet<>();
        for (Allocation allocation : unfenced) {
            if (isAtRisk(allocation)) {
                atRisk.add(Attempts.of(allocation));
                warnOnce(allocation);
            }
        }
        warned = atRisk;
    }

    private static Stream<Allocation> unfencedOn(Machine machine) {
        return Stream.concat(
                machine.fencing().unfenced().stream(),
                machine.allocations().stream().filter(Allocation::isLost));
    }

    private void publish(long attempts, long oldestMs) {
        eventLoop.setGauge("fencing.unfenced", attempts);
        eventLoop.setGauge("fencing.oldest_unfenced_ms", oldestMs);
    }

    private boolean isAtRisk(Allocation allocation) {
        Machine machine = allocation.machine();
        return allocation.job().isTerminal()
                && machine.liveness().heartbeatWithin(timing.leaseMs(), eventLoop.nowMs())
                && allocation.isLostFor((long) (WARNING_LIMIT_FRACTION * timing.cancelLimitMs()), eventLoop.nowMs())
                && registry.agentOf(machine).mayStillStart(Attempts.of(allocation));
    }

    private void warnOnce(Allocation allocation) {
        if (warned.contains(Attempts.of(allocation))) {
            return;
        }
        Machine machine = allocation.machine();
        eventLoop.increment("fencing.cancelled_at_risk", 1);
        LOG.atWarn()
                .addKeyValue("task", allocation.task())
                .addKeyValue("attempt", allocation.attempt())
                .addKeyValue("machine", machine.id())
                .addKeyValue("unfenced_ms", allocation.lostForMs(eventLoop.nowMs()))
                .addKeyValue("deletion_begun", machine.fencing().isInProgress())
                .log("cancelled attempt may be started");
    }
}
