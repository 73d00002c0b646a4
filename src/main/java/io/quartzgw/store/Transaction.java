package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/**
 * A set of writes that are applied atomically if all preconditions on key revisions hold. A transaction without writes
 * only checks the preconditions.
 */
public final class Transaction {
    /** The revision in a precondition that a key must not exist. */
    public static final long NO_REVISION = 0;

    private final List<Precondition> preconditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /** The revision that a key must have for the transaction to be applied. */
    record Precondition(String key, long revision) {}

    /** A write of one key. */
    sealed interface Write permits Put, Delete {
        String key();
    }

    /**
     * Sets a value.
     *
     * @param leaseId the lease that the key is attached to, if any
     */
    record Put(String key, JsonNode value, OptionalLong leaseId) implements Write {}

    /** Deletes a key. */
    record Delete(String key) implements Write {}

    /** Requires that a key has the given revision. */
    public Transaction require(String key, long revision) {
        preconditions.add(new Precondition(key, revision));
        return this;
    }

    /** Sets a key's value. */
    public Transaction put(String key, JsonNode value) {
        writes.add(new Put(key, value, OptionalLong.empty()));
        return this;
    }

    /** Sets a key's value and attaches the key to a lease, with whose end it is deleted. */
    public Transaction putWithLease(String key, JsonNode value, long leaseId) {
        writes.add(new Put(key, value, OptionalLong.of(leaseId)));
        return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** The number of writes. */
    public int writeCount() {
        return writes.size();
    }

    List<Precondition> preconditions() {
        return Collections.unmodifiableList(preconditions);
    }

    List<Write> writes() {
        return Collections.unmodifiableList(writes);
    }
}
