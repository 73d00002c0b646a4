package io.quartzgw.agent;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Tells how jobs have ended that are not open any more. */
public interface EndedJobs {

    /** How a job has ended. */
    sealed interface End {
        /** All its tasks are done. */
        record Done() implements End {}

        /**
         * It was cancelled.
         *
         * @param atMs when a user was told so, as far as this controller knows
         */
        record Cancelled(OptionalLong atMs) implements End {}
    }

    /** Answers, at once or later, how a job that is not open has ended. */
    void lookUp(String job, Consumer<End> onEnd);
}
