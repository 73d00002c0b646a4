package io.quartzgw.store;

/** The result of reading one key. */
public sealed interface ReadResult {

    /** The key has a value. */
    record Found(KeyValue entry) implements ReadResult {}

    /** The key does not exist. */
    record Absent() implements ReadResult {}

    /** The state service rejected the request or did not respond. */
    record Unavailable() implements ReadResult {}
}
