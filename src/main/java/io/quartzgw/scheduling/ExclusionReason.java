package io.quartzgw.scheduling;

import java.util.Locale;

/** Why no tasks are allocated to a machine, whatever free capacity it has. */
public enum ExclusionReason {
    /** It has run no tasks, and no current heartbeat of its agent has been received yet. */
    BOOTING,
    /** It will be deleted. */
    DRAINING,
    /** It was unresponsive for its whole reservation. */
    RESERVATION_EXPIRED,
    /** It may run tasks of a previous leader, and no current heartbeat of its agent has been received yet. */
    UNVERIFIED,
    /** Its agent has left a direct call unanswered, or its epoch has changed, and it has answered no call since. */
    UNREACHABLE,
    /** Its agent's last heartbeat response is too old. */
    UNRESPONSIVE,
    /** The cloud has announced that it reclaims the machine. */
    RECLAIM_ANNOUNCED,
    /** Tasks of several jobs have failed there. */
    QUARANTINED;

    /** The name of the gauge with the number of machines that are excluded for this reason. */
    String gauge() {
        return "excluded." + name().toLowerCase(Locale.ROOT);
    }
}
