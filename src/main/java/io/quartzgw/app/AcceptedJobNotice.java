package io.quartzgw.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.submission.JobRecordCodec;
import io.quartzgw.submission.OpenJob;
import java.util.Optional;

/** JSON encoding of the notice of an accepted job that a controller sends to the leader in a peer message. */
final class AcceptedJobNotice {
    private static final String REVISION = "revision";
    private static final String JOB = "accepted";

    private AcceptedJobNotice() {}

    static ObjectNode encode(OpenJob job) {
        ObjectNode notice = Json.object().put(REVISION, job.revision());
        notice.set(JOB, JobRecordCodec.encodeOpen(job.spec(), job.acceptedAtMs()));
        return notice;
    }

    /** Returns the job, or empty if the notice is of another kind. */
    static Optional<OpenJob> decode(JsonNode notice) {
        if (!notice.has(JOB)) {
            return Optional.empty();
        }
        return Optional.of(JobRecordCodec.decodeOpen(
                notice.path(JOB), notice.path(REVISION).asLong()));
    }
}
