package io.quartzgw.store;

/** The result of a read of one key. */
public sealed interface ReadResult {

    /** The key has a value. */
    record Found(KeyValue entry) implements ReadResult {}

    /** There is no such key. */
    record Absent() implements ReadResult {}

    /** The store refused or did not answer. */
    record Unavailable() implements ReadResult {}
}
