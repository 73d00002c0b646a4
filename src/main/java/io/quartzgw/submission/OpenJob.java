package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.model.JobSpec;

/**
 * An accepted job that is not terminal, as the state service keeps it.
 *
 * @param revision of its record; it never changes while the job is open
 * @param acceptedAt time of day, in milliseconds, at the controller that accepted it
 */
public record OpenJob(JobSpec spec, long revision, long acceptedAt) {

    /** Former name of {@link JobRecordCodec#encodeOpen}. */
    public static ObjectNode record(JobSpec spec, long acceptedAt) {
        return JobRecordCodec.encodeOpen(spec, acceptedAt);
    }

    /** Former name of {@link JobRecordCodec#decodeOpen}. */
    public static OpenJob fromRecord(JsonNode record, long revision) {
        return JobRecordCodec.decodeOpen(record, revision);
    }
}
