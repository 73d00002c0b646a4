package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.FleetManager;
import io.quartzgw.scheduling.UnplacedTasks;
import java.util.List;

/**
 * Paces the scaling of the fleet. It examines every machine and waiting job, and a rental takes far longer than the
 * pause between two runs.
 */
final class FleetScaling {
    private static final double COOLDOWN_HEARTBEATS = 0.1;

    private final EventLoop eventLoop;
    private final FleetManager fleet;
    private final long cooldownMs;
    private boolean started;
    private boolean runDue;
    private boolean coolingDown;

    /** @param heartbeatMs the agents' heartbeat interval */
    FleetScaling(EventLoop eventLoop, FleetManager fleet, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.fleet = fleet;
        this.cooldownMs = (long) (COOLDOWN_HEARTBEATS * heartbeatMs);
    }

    /** Starts the fleet manager when this is called for the first time. */
    void startOnce() {
        if (!started) {
            started = true;
            fleet.start();
        }
    }

    /** Makes a run due, since the cluster state has changed. */
    void requestRun() {
        runDue = true;
    }

    /**
     * Scales the fleet if a run is due and the pause is over.
     *
     * @param windowClosed whether the allocations on all machines are known, as far as they will be
     */
    void runIfDue(List<UnplacedTasks> unplaced, boolean windowClosed) {
        if (!runDue || coolingDown) {
            return;
        }
        coolingDown = true;
        runDue = fleet.scale(unplaced, windowClosed);
        eventLoop.after(cooldownMs, () -> coolingDown = false);
    }
}
