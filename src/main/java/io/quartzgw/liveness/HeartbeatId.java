package io.quartzgw.liveness;

/**
 * Identifies a heartbeat of an agent, and orders it among the agent's heartbeats.
 *
 * @param epoch the agent's epoch, which increases when its lease ends
 * @param sequence the number of the heartbeat within the epoch
 */
public record HeartbeatId(long epoch, long sequence) {

    /** Returns whether this heartbeat was made after the other heartbeat of the same agent. */
    public boolean isNewerThan(HeartbeatId other) {
        return epoch > other.epoch || (epoch == other.epoch && sequence > other.sequence);
    }
}
