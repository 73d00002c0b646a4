package io.quartzgw.submission;

/**
 * The final state of a job, which never changes.
 *
 * @param cancelled whether the job was cancelled; otherwise it is done
 * @param completedTasks how many tasks were done, for display
 */
public record TerminalState(boolean cancelled, int completedTasks) {}
