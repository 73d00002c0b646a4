package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.model.JobSpec;

/** JSON encoding of the records of open and terminal jobs in the state service. */
public final class JobRecordCodec {
    private static final String ACCEPTED_AT = "accepted_ms";
    private static final String PHASE = "phase";
    private static final String COMPLETED_TASKS = "done";

    private JobRecordCodec() {}

    /** Encodes the record of an open job. */
    public static ObjectNode encodeOpen(JobSpec spec, long acceptedAtMs) {
        return JobCodec.encode(spec).put(ACCEPTED_AT, acceptedAtMs);
    }

    /**
     * Decodes the record of an open job.
     *
     * @throws IllegalStateException if the record is malformed; only this program writes it
     */
    public static OpenJob decodeOpen(JsonNode record, long revision) {
        try {
            return new OpenJob(
                    JobCodec.decode(record), revision, record.path(ACCEPTED_AT).asLong());
        } catch (InvalidJobException e) {
            throw new IllegalStateException("unreadable job record: " + e.getMessage(), e);
        }
    }

    /** Encodes the record of a terminal job. */
    public static ObjectNode encodeTerminal(TerminalState state) {
        return Json.object().put(PHASE, phase(state)).put(COMPLETED_TASKS, state.completedTasks());
    }

    /** Decodes the record of a terminal job. */
    static TerminalState decodeTerminal(JsonNode record) {
        return new TerminalState(
                record.path(PHASE).asText().equals(JobResponses.CANCELLED),
                record.path(COMPLETED_TASKS).asInt());
    }

    private static String phase(TerminalState state) {
        return state.cancelled() ? JobResponses.CANCELLED : JobResponses.COMPLETED;
    }
}
