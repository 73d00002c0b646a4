package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A guarded transaction: every write happens, or none. */
public final class Transaction {
    /** The revision that a guard names for a key that must not exist. */
    public static final long NO_REVISION = 0;

    static final long NO_LEASE = -1;

    final List<Precondition> preconditions = new ArrayList<>();
    final List<Write> writes = new ArrayList<>();

    record Precondition(String key, long revision) {}

    record Write(String key, JsonNode value, long leaseId) {}

    public Transaction require(String key, long revision) {
        preconditions.add(new Precondition(key, revision));
        return this;
    }

    public Transaction put(String key, JsonNode value) {
        writes.add(new Write(key, value, NO_LEASE));
        return this;
    }

    public Transaction putWithLease(String key, JsonNode value, long leaseId) {
        writes.add(new Write(key, value, leaseId));
        return this;
    }

    public Transaction delete(String key) {
        writes.add(new Write(key, null, NO_LEASE));
        return this;
    }

    public int writeCount() {
        return writes.size();
    }
}
