package io.quartzgw.replication;

import io.quartzgw.store.KeyValue;
import io.quartzgw.store.Transaction;
import java.util.List;

/**
 * The record of the controllers in sync, as it is stored.
 *
 * @param revision the revision of its key
 */
public record StoredInSyncRecord(InSyncRecord record, long revision) {
    /** The prefix of the keys of the replication. */
    public static final String PREFIX = "starts/";
    /** The key of the record. */
    static final String KEY = PREFIX + "insync";

    /** Returns the record among the entries with the prefix. */
    public static StoredInSyncRecord of(List<KeyValue> entries) {
        return entries.stream()
                .filter(entry -> entry.key().equals(KEY))
                .findFirst()
                .map(entry -> new StoredInSyncRecord(InSyncRecordCodec.decode(entry.value()), entry.revision()))
                .orElseGet(() -> new StoredInSyncRecord(InSyncRecord.NONE, Transaction.NO_REVISION));
    }
}
