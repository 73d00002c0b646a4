package io.quartzgw.agent;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Looks up the terminal state of jobs that are no longer open. */
public interface EndedJobs {

    /** The terminal state of a job. */
    sealed interface Outcome {
        /** All tasks of the job are completed. */
        record Completed() implements Outcome {}

        /**
         * The job was cancelled.
         *
         * @param atMs when the cancellation was acknowledged to a user, if this controller has recorded the time
         */
        record Cancelled(OptionalLong atMs) implements Outcome {}
    }

    /** Looks up how a job that is not open has ended; the callback runs during this call or later. */
    void lookUp(String job, Consumer<Outcome> callback);
}
