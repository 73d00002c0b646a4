package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.FleetManager;
import io.quartzgw.scheduling.UnplacedTasks;
import java.util.List;

/**
 * Limits how often the fleet is scaled. A run is expensive because it examines every machine and waiting job. The
 * cooldown between two runs delays it by far less than the time that renting a machine takes.
 */
final class FleetScalingThrottle {
    private static final double COOLDOWN_HEARTBEATS = 0.1;

    private final EventLoop eventLoop;
    private final FleetManager fleet;
    private final long cooldownMs;
    private boolean started;
    private boolean runDue;
    private boolean coolingDown;

    /** @param heartbeatMs the agents' heartbeat interval */
    FleetScalingThrottle(EventLoop eventLoop, FleetManager fleet, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.fleet = fleet;
        this.cooldownMs = (long) (COOLDOWN_HEARTBEATS * heartbeatMs);
    }

    /** Starts the fleet manager on the first call. */
    void startOnce() {
        if (!started) {
            started = true;
            fleet.start();
        }
    }

    /** Requests a run after a change of the cluster state. */
    void requestRun() {
        runDue = true;
    }

    /**
     * Scales the fleet if a run is due and the cooldown is over.
     *
     * @param allocationsKnown whether recovery no longer waits for heartbeats that report allocations
     */
    void runIfDue(List<UnplacedTasks> unplaced, boolean allocationsKnown) {
        if (!runDue || coolingDown) {
            return;
        }
        coolingDown = true;
        // True if the cloud's request limit was reached.
        runDue = fleet.scale(unplaced, allocationsKnown);
        eventLoop.after(cooldownMs, () -> coolingDown = false);
    }
}
