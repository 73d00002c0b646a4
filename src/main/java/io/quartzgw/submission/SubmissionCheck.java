package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Response;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineTypes;
import java.util.Optional;

/** Decodes a submission and decides, without the state service, whether the job may be accepted. */
final class SubmissionCheck {
    private final MachineTypes machineTypes;
    private final Admission admission;
    private final int maxRecordBytes;

    /** The result of a check. */
    sealed interface Result {
        /** The submission has no valid job ID. */
        record InvalidJobId(Response response) implements Result {}

        /** The job can't be accepted; the response applies unless a job with its ID exists. */
        record Rejected(String id, Response response) implements Result {}

        /** The job may be accepted. */
        record Admitted(JobSpec spec) implements Result {}
    }

    /** @param maxRecordBytes the maximum size of a record in the state service */
    SubmissionCheck(MachineTypes machineTypes, Admission admission, int maxRecordBytes) {
        this.machineTypes = machineTypes;
        this.admission = admission;
        this.maxRecordBytes = maxRecordBytes;
    }

    /** Checks the body of a submission that arrived at the given wall-clock time. */
    Result check(byte[] requestBody, long wallClockMs) {
        JsonNode body = Json.readOrNull(requestBody);
        String id = body == null ? null : body.path("id").textValue();
        if (!JobCodec.isValidJobId(id)) {
            return new Result.InvalidJobId(JobResponses.malformed("not a job: a JSON object with a job id is due"));
        }
        try {
            JobSpec spec = JobCodec.decode(body);
            Optional<Response> rejection = rejection(spec, wallClockMs);
            return rejection.isPresent() ? new Result.Rejected(id, rejection.get()) : new Result.Admitted(spec);
        } catch (InvalidJobException e) {
            return new Result.Rejected(id, JobResponses.malformed(e.getMessage()));
        }
    }

    private Optional<Response> rejection(JobSpec spec, long wallClockMs) {
        if (Json.write(JobRecordCodec.encodeOpen(spec, wallClockMs)).length > maxRecordBytes) {
            return Optional.of(JobResponses.malformed("the description is too long"));
        }
        if (!machineTypes.isKnown()) {
            return Optional.of(JobResponses.machineTypesUnknown());
        }
        return admission.rejectionReason(spec, machineTypes.all()).map(JobResponses::notAdmitted);
    }
}
