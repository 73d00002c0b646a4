package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Begins and ends the quarantines of all machines, and logs and counts these changes. */
final class QuarantineReview {
    private static final Logger LOG = LoggerFactory.getLogger(QuarantineReview.class);

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final QuarantineTiming timing;

    /** @param heartbeatMs the agents' heartbeat interval */
    QuarantineReview(EventLoop eventLoop, ClusterState cluster, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.timing = QuarantineTiming.of(heartbeatMs);
    }

    /** Updates all machines; called before each scheduling pass. */
    void updateAll() {
        long onProbation = 0;
        for (Machine machine : cluster.machines()) {
            machine.exclusions().quarantine().update(timing, new StateLog(machine), eventLoop.nowMs());
            onProbation += machine.exclusions().quarantine().state() == MachineQuarantine.State.PROBATION ? 1 : 0;
        }
        eventLoop.setGauge("quarantine.probation", onProbation);
    }

    private final class StateLog implements MachineQuarantine.Listener {
        private final Machine machine;

        StateLog(Machine machine) {
            this.machine = machine;
        }

        @Override
        public void quarantined() {
            eventLoop.increment("quarantine.begun", 1);
            LOG.atInfo()
                    .addKeyValue("machine", machine.id())
                    .addKeyValue("jobs", machine.exclusions().quarantine().failedJobs())
                    .addKeyValue(
                            "duration_ms", machine.exclusions().quarantine().durationMs(timing))
                    .log("machine quarantined");
        }

        @Override
        public void probationBegun() {
            LOG.atInfo()
                    .addKeyValue("machine", machine.id())
                    .addKeyValue("duration_ms", timing.probationMs())
                    .log("machine on probation");
        }

        @Override
        public void ended(MachineQuarantine.EndReason reason) {
            LOG.atInfo()
                    .addKeyValue("machine", machine.id())
                    .addKeyValue("reason", reason)
                    .log("machine quarantine ended");
        }
    }
}
