package io.quartzgw.submission;

/**
 * The terminal state of a job, which never changes.
 *
 * @param cancelled whether the job was cancelled; otherwise it completed
 * @param completedTasks the number of completed tasks, for display
 */
public record TerminalState(boolean cancelled, int completedTasks) {}
