package io.quartzgw.liveness;

/**
 * Identifies a heartbeat of one agent, and orders it among the agent's others.
 *
 * @param epoch the agent's epoch, which rises when its lease has ended
 * @param sequence the number of the heartbeat within the epoch
 */
public record HeartbeatId(long epoch, long sequence) {

    /** Returns whether this heartbeat was made after another one of the same agent. */
    public boolean isNewerThan(HeartbeatId other) {
        return epoch > other.epoch || (epoch == other.epoch && sequence > other.sequence);
    }
}
