package io.quartzgw.recovery;

import io.quartzgw.agent.AgentManager;
import io.quartzgw.agent.LeaderContext;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases the capacity reserved on machines whose agents have been unresponsive for longer than a reservation. By then
 * the agents' leases have expired ({@link RecoveryTiming}).
 */
final class ReservationExpiry {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationExpiry.class);

    private final LeaderContext leader;
    private final AgentManager agents;
    private final long reservationMs;

    /** @param reservationMs the duration of a reservation after the last heartbeat response */
    ReservationExpiry(LeaderContext leader, AgentManager agents, long reservationMs) {
        this.leader = leader;
        this.agents = agents;
        this.reservationMs = reservationMs;
    }

    /** Releases the reservations that have expired. */
    void releaseExpired() {
        List.copyOf(leader.cluster().machines()).stream()
                .filter(this::isExpiryDue)
                .forEach(this::release);
    }

    // Whether the reservation has lasted long enough but is not yet marked as expired.
    private boolean isExpiryDue(Machine machine) {
        ClusterState cluster = leader.cluster();
        boolean reserved = !machine.reservationExpired()
                && (!machine.hasNoAllocations() || UnverifiedMachines.isUnverified(machine, cluster));
        return reserved && leader.eventLoop().nowMs() - machine.liveness().lastResponseAt() > reservationMs;
    }

    private void release(Machine machine) {
        int allocated = machine.allocations().size();
        agents.allAttemptsLost(machine);
        LOG.atInfo()
                .addKeyValue("machine", machine.id())
                .addKeyValue("released_tasks", allocated - machine.allocations().size())
                .log("reservation expired");
        // Counts expired reservations.
        leader.eventLoop().increment("machines.given_up", 1);
        machine.expireReservation();
        leader.cluster().markChanged();
    }
}
