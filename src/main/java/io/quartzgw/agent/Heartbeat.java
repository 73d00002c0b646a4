package io.quartzgw.agent;

import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import java.util.List;
import java.util.OptionalDouble;

/**
 * An agent's periodic report on its machine and tasks. The task list is kept encoded and is decoded only if it differs
 * from the agent's previous one, because most heartbeats of hundreds of machines carry no change.
 *
 * @param source the machine that the agent runs on
 * @param id the agent's epoch and the sequence of the heartbeat
 * @param fencingToken the highest token that the agent has seen
 * @param reclaimInSeconds seconds until the cloud reclaims the machine, if the agent was notified
 * @param taskList the encoded task list; empty if the heartbeat had none
 */
public record Heartbeat(
        Source source, HeartbeatId id, long fencingToken, OptionalDouble reclaimInSeconds, byte[] taskList) {

    /** The machine that a heartbeat comes from, as the agent describes it. */
    public record Source(String machine, Endpoint address, String machineType, String zone, boolean spot) {}

    /** The status of one attempt. */
    public record TaskStatus(Attempt attempt, TaskState state, ExitCause cause) {}

    /** The state of an attempt as its agent reports it. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitCause {
        DONE,
        STOPPED,
        ERROR,
        /** Not all members of the gang started, or one of them ended. */
        GANG_FAILED,
        /** The agent refused the attempt: no free capacity, another attempt of the task present, or job unknown. */
        REFUSED,
        /** The attempt has not ended, or the agent reported no cause. */
        NONE
    }

    /** Returns the ID of the machine that the agent runs on. */
    public String machine() {
        return source.machine();
    }

    /** Returns the endpoint at which the agent receives commands. */
    public Endpoint address() {
        return source.address();
    }

    public long epoch() {
        return id.epoch();
    }

    /** Returns the sequence number of the heartbeat within the epoch. */
    public long sequence() {
        return id.sequence();
    }

    /** Decodes the task list, skipping invalid items. */
    List<TaskStatus> tasks() {
        return HeartbeatCodec.decodeTasks(taskList);
    }
}
