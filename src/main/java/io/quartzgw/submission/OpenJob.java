package io.quartzgw.submission;

import io.quartzgw.model.JobSpec;

/**
 * An accepted job that is not terminal, as the state service keeps it.
 *
 * @param revision of its record; it never changes while the job is open
 * @param acceptedAt time of day, in milliseconds, at the controller that accepted it
 */
public record OpenJob(JobSpec spec, long revision, long acceptedAt) {}
