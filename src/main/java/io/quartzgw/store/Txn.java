package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A guarded transaction: every write happens, or none. */
public final class Txn {
    /** The revision that a guard names for a key that must not exist. */
    public static final long ABSENT = 0;

    static final long NO_HOLD = -1;

    final List<Guard> guards = new ArrayList<>();
    final List<Write> writes = new ArrayList<>();

    record Guard(String key, long revision) {}

    record Write(String key, JsonNode value, long hold) {}

    public Txn guard(String key, long revision) {
        guards.add(new Guard(key, revision));
        return this;
    }

    public Txn put(String key, JsonNode value) {
        writes.add(new Write(key, value, NO_HOLD));
        return this;
    }

    public Txn putHeld(String key, JsonNode value, long hold) {
        writes.add(new Write(key, value, hold));
        return this;
    }

    public Txn drop(String key) {
        writes.add(new Write(key, null, NO_HOLD));
        return this;
    }

    public int size() {
        return writes.size();
    }
}
