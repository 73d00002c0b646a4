package io.quartzgw.agent;

import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import java.util.List;
import java.util.OptionalDouble;

/**
 * An agent's report on its machine and tasks. The task list is kept encoded and decoded only when it differs from the
 * agent's previous one, since most heartbeats of hundreds of machines carry nothing new.
 *
 * @param source the machine that the agent runs on
 * @param id the agent's epoch and the sequence of the heartbeat
 * @param fencingToken the highest token that the agent has seen
 * @param reclaimInSeconds when the cloud takes the machine back, if the agent was notified
 * @param taskList the encoded task list, empty if the heartbeat had none
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
        /** Not all members of its gang started, or one of them ended. */
        GANG_FAILED,
        /** The agent refused it: the machine had no free capacity, another attempt, or no such job. */
        REFUSED,
        /** It has not ended, or the agent names no cause. */
        NONE
    }

    /** Returns the ID of the machine that the agent runs on. */
    public String machine() {
        return source.machine();
    }

    /** Returns the endpoint at which the agent takes commands. */
    public Endpoint address() {
        return source.address();
    }

    /** Returns the agent's epoch. */
    public long epoch() {
        return id.epoch();
    }

    /** Returns the number of the heartbeat within the epoch. */
    public long sequence() {
        return id.sequence();
    }

    /** Decodes the task list, without the items that are not valid. */
    List<TaskStatus> tasks() {
        return HeartbeatCodec.decodeTasks(taskList);
    }
}
