package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/** Writes that are all applied, or none, depending on the revisions of keys; a transaction may also only compare. */
public final class Transaction {
    /** The revision that a precondition requires of a key that must not exist. */
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

    /** Requires that a key has a revision. */
    public Transaction require(String key, long revision) {
        preconditions.add(new Precondition(key, revision));
        return this;
    }

    /** Sets a key's value. */
    public Transaction put(String key, JsonNode value) {
        writes.add(new Put(key, value, OptionalLong.empty()));
        return this;
    }

    /** Sets the value of a key that is deleted when a lease ends. */
    public Transaction putWithLease(String key, JsonNode value, long leaseId) {
        writes.add(new Put(key, value, OptionalLong.of(leaseId)));
        return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** How many writes the transaction has. */
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
