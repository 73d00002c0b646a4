/**
 * The recorded progress of open jobs.
 *
 * <p>Responsibility: {@link io.quartzgw.progress.ProgressRecorder} writes completed tasks as bitmaps in batches, start
 * limits before the starts that they cover, and the completion of jobs. {@link io.quartzgw.progress.ProgressRecords}
 * has the stored records. An agent reports a completed task until it is recorded.
 *
 * <p>State owned: the progress that is not written yet, and which progress records of a job exist. All of it belongs to
 * one term.
 *
 * <p>Callers: the leader and its failover recovery, on the event loop's thread only.
 */
package io.quartzgw.progress;
