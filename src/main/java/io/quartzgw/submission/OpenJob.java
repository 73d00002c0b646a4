package io.quartzgw.submission;

import io.quartzgw.model.JobSpec;

/**
 * An accepted job that is not terminal, as stored in the state service.
 *
 * @param revision revision of the job's record, which never changes while the job is open
 * @param acceptedAtMs wall-clock time, in milliseconds, of the controller that accepted the job
 */
public record OpenJob(JobSpec spec, long revision, long acceptedAtMs) {}
