package io.quartzgw.submission;

/**
 * Keys of job records in the state service. The record of an open job, with its specification, is under
 * {@link #OPEN_PREFIX}. When the job ends, one transaction replaces it with a record under {@link #TERMINAL_PREFIX}, so
 * a failover reads open jobs only.
 */
public final class JobKeys {
    /** Prefix of the records of open jobs. */
    public static final String OPEN_PREFIX = "open/";
    /** Prefix of the records of terminal jobs. */
    public static final String TERMINAL_PREFIX = "over/";

    private JobKeys() {}

    /** The key of a job while it is open. */
    public static String open(String id) {
        return OPEN_PREFIX + id;
    }

    /** The key of a job once it is terminal. */
    public static String terminal(String id) {
        return TERMINAL_PREFIX + id;
    }
}
