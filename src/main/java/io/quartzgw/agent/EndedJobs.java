package io.quartzgw.agent;

import java.util.function.Consumer;

/** Tells how jobs have ended that are not open any more. */
public interface EndedJobs {
    /** Answers, once that is known, whether a job was cancelled; otherwise it is done. */
    void lookUp(String job, Consumer<Boolean> isCancelled);
}
