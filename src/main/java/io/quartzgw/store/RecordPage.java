package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** One page of packed records, stored under one key as a JSON object with a field for each record. */
final class RecordPage {
    private static final int PUNCTUATION_BYTES = 6;

    private final int number;
    private final Map<String, JsonNode> records = new LinkedHashMap<>();
    private final Map<String, Integer> recordSizes = new HashMap<>();
    private long revision;
    private int totalBytes;
    private boolean dirty;
    private boolean outdated;
    private boolean unreadable;

    private RecordPage(int number, long revision) {
        this.number = number;
        this.revision = revision;
    }

    /** An empty page that is not stored yet. */
    static RecordPage empty(int number) {
        return new RecordPage(number, Transaction.NO_REVISION);
    }

    static RecordPage decode(int number, KeyValue stored) {
        RecordPage page = new RecordPage(number, stored.revision());
        stored.value()
                .properties()
                .forEach(field -> page.put(
                        field.getKey(), field.getValue(), recordSizeBytes(field.getKey(), field.getValue(), 0)));
        return page;
    }

    JsonNode encode() {
        ObjectNode value = Json.object();
        records.forEach(value::set);
        return value;
    }

    /**
     * The number of bytes that a record takes in a page.
     *
     * @param reservedBytes the size up to which the record may grow later
     */
    static int recordSizeBytes(String key, JsonNode record, int reservedBytes) {
        return key.length() + PUNCTUATION_BYTES + Math.max(reservedBytes, Json.write(record).length);
    }

    int number() {
        return number;
    }

    /** The revision of the stored page, or {@link Transaction#NO_REVISION} if it is not stored. */
    long revision() {
        return revision;
    }

    void setRevision(long revision) {
        this.revision = revision;
    }

    /** Whether the page is to be included in the next write. */
    boolean dirty() {
        return dirty;
    }

    void setDirty(boolean dirty) {
        this.dirty = dirty;
    }

    /** Whether records were removed since the page was last written, so that its stored copy still contains them. */
    boolean outdated() {
        return outdated;
    }

    void setOutdated(boolean outdated) {
        this.outdated = outdated;
    }

    /** Whether the stored page can't be decoded. Such a page is not modified. */
    boolean unreadable() {
        return unreadable;
    }

    void setUnreadable(boolean unreadable) {
        this.unreadable = unreadable;
    }

    Set<String> keys() {
        return records.keySet();
    }

    JsonNode record(String key) {
        return records.get(key);
    }

    /** The size of the page, with what is reserved for its records. */
    int totalBytes() {
        return totalBytes;
    }

    /** The number of bytes of a record in this page, with what is reserved for it. */
    int recordBytes(String key) {
        return recordSizes.get(key);
    }

    /** The size of the page if the record with this key had the given size. */
    int totalBytesWith(String key, int size) {
        return totalBytes - recordSizes.getOrDefault(key, 0) + size;
    }

    void put(String key, JsonNode record, int size) {
        totalBytes = totalBytesWith(key, size);
        records.put(key, record);
        recordSizes.put(key, size);
    }

    void remove(String key) {
        records.remove(key);
        totalBytes -= recordSizes.remove(key);
    }
}
