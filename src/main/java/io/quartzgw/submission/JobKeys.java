package io.quartzgw.submission;

/**
 * Where jobs are kept in the state service. A job is under {@link #OPEN} with its description until it moves, in one
 * transaction, to {@link #TERMINAL}: a takeover reads unfinished jobs only.
 */
public final class JobKeys {
    public static final String OPEN = "open/";
    public static final String TERMINAL = "over/";

    private JobKeys() {}

    public static String open(String id) {
        return OPEN + id;
    }

    public static String terminal(String id) {
        return TERMINAL + id;
    }
}
