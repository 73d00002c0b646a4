package io.quartzgw.submission;

/**
 * Where jobs are kept in the state service. A job is under {@link #OPEN} with its description until it moves, in one
 * transaction, to {@link #OVER}: a takeover reads unfinished jobs only.
 */
public final class JobKeys {
    public static final String OPEN = "open/";
    public static final String OVER = "over/";

    private JobKeys() {}

    public static String open(String id) {
        return OPEN + id;
    }

    public static String over(String id) {
        return OVER + id;
    }
}
