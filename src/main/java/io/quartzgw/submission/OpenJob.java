package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.model.JobSpec;

/**
 * An accepted, unfinished job as the state service keeps it.
 *
 * @param revision of its record; it never changes while the job is open
 * @param acceptedAt time of day, in milliseconds, at the node that accepted it
 */
public record OpenJob(JobSpec spec, long revision, long acceptedAt) {

    public static ObjectNode record(JobSpec spec, long acceptedAt) {
        return JobCodec.write(spec).put("accepted_ms", acceptedAt);
    }

    /** @throws IllegalStateException when the record can't be read: only this program writes it */
    public static OpenJob fromRecord(JsonNode record, long revision) {
        try {
            return new OpenJob(
                    JobCodec.read(record), revision, record.path("accepted_ms").asLong());
        } catch (InvalidJobException e) {
            throw new IllegalStateException("unreadable job record: " + e.getMessage(), e);
        }
    }
}
