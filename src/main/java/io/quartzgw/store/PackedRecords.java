package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Many small records packed into few values under one prefix, so that a write costs the same whether one record has
 * changed or a hundred.
 *
 * <p>A transaction may be applied minutes late. Every write of a page guards the page's revision, so of two writes that
 * were sent from the same state only one can ever be applied, and a late copy changes nothing.
 */
public final class PackedRecords {
    /** The part of a value that records may fill; the rest is for punctuation. */
    private static final double FILL_FACTOR = 0.85;
    /** All pages of a transaction together; the service takes 64 KiB with everything around them. */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    private static final int PUNCTUATION_BYTES = 6;

    private final StoreClient store;
    private final String prefix;
    private final Supplier<Transaction> transactions;
    private final int pageBytes;
    private final int pagesPerTransaction;
    private final Map<Integer, Page> pages = new TreeMap<>();
    private final Map<String, Page> pageByKey = new HashMap<>();

    private static final class Page {
        private final int number;
        private final Map<String, JsonNode> records = new LinkedHashMap<>();
        private final Map<String, Integer> recordBytes = new HashMap<>();
        private long revision = Transaction.NO_REVISION;
        private int bytes;
        private boolean dirty;

        Page(int number) {
            this.number = number;
        }

        void put(String key, JsonNode record, int size) {
            records.put(key, record);
            bytes += size;
            Integer before = recordBytes.put(key, size);
            bytes -= before == null ? 0 : before;
        }

        void remove(String key) {
            records.remove(key);
            bytes -= recordBytes.remove(key);
        }
    }

    /** @param transactions an empty transaction that only the present leader can commit */
    public PackedRecords(StoreClient store, String prefix, Supplier<Transaction> guarded) {
        this.store = store;
        this.prefix = prefix;
        this.transactions = guarded;
        this.pageBytes = (int) (store.maxValueBytes() * FILL_FACTOR);
        this.pagesPerTransaction =
                Math.max(1, Math.min(store.maxTransactionWrites(), MAX_TRANSACTION_BYTES / store.maxValueBytes()));
    }

    /** Takes the pages that the state service holds, and tells each record. */
    public void load(List<KeyValue> entries, BiConsumer<String, JsonNode> record) {
        for (KeyValue entry : entries) {
            Page page = new Page(Integer.parseInt(entry.key().substring(prefix.length())));
            page.revision = entry.revision();
            pages.put(page.number, page);
            entry.value().properties().forEach(item -> {
                page.put(item.getKey(), item.getValue(), size(item.getKey(), item.getValue(), 0));
                pageByKey.put(item.getKey(), page);
            });
        }
        List.copyOf(pageByKey.keySet())
                .forEach(key -> record.accept(key, pageByKey.get(key).records.get(key)));
    }

    private static int size(String key, JsonNode record, int reserved) {
        return key.length() + PUNCTUATION_BYTES + Math.max(reserved, Json.write(record).length);
    }

    /**
     * Puts a record, to be written with the next {@link #write}.
     *
     * @param reserved how many bytes the record may yet grow to
     */
    public void put(String key, JsonNode record, int reserved) {
        int size = size(key, record, reserved);
        Page page = pageByKey.get(key);
        if (page != null && page.bytes - page.recordBytes.get(key) + size > store.maxValueBytes()) {
            // A page that the service refuses would hold up all others for good.
            throw new IllegalArgumentException(key + " has outgrown what was reserved for it");
        }
        if (page == null) {
            page = pages.values().stream()
                    .filter(some -> some.bytes + size <= pageBytes)
                    .findFirst()
                    .orElse(null);
            if (page == null) {
                page = new Page(pages.size());
                pages.put(page.number, page);
            }
            pageByKey.put(key, page);
        }
        page.put(key, record, size);
        page.dirty = true;
    }

    /** Whether there is a record with this key. */
    public boolean contains(String key) {
        return pageByKey.containsKey(key);
    }

    /** How many changes the next write takes. */
    public int dirtyPageCount() {
        return (int) pages.values().stream().filter(page -> page.dirty).count();
    }

    /** Removes a record; it leaves the state service with the next change of its page. */
    public void removeLazily(String key) {
        Page page = pageByKey.remove(key);
        if (page != null) {
            page.remove(key);
        }
    }

    /** Removes a record, to be written with the next {@link #write}. */
    public void remove(String key) {
        Page page = pageByKey.get(key);
        removeLazily(key);
        if (page != null) {
            page.dirty = true;
        }
    }

    /**
     * Writes what has changed up to now and says whether that is in the state service; one write at a time. What
     * changes meanwhile is left for the next write: where the budget is short something always does, and a write that
     * took it along would never be told as done.
     */
    public void write(RequestUrgency urgency, Consumer<Boolean> callback) {
        writePages(pages.values().stream().filter(page -> page.dirty).toList(), urgency, callback);
    }

    private void writePages(List<Page> dirtyPages, RequestUrgency urgency, Consumer<Boolean> callback) {
        if (dirtyPages.isEmpty()) {
            callback.accept(true);
            return;
        }
        // No more than a second's worth, so that others get their turn.
        int pagesNow = Math.max(1, Math.min(pagesPerTransaction, (int) store.writesPerS()));
        List<Page> batch = dirtyPages.subList(0, Math.min(pagesNow, dirtyPages.size()));
        List<Page> rest = dirtyPages.subList(batch.size(), dirtyPages.size());
        Transaction transaction = transactions.get();
        for (Page page : batch) {
            ObjectNode value = Json.object();
            page.records.forEach(value::set);
            transaction.require(key(page), page.revision).put(key(page), value);
            page.dirty = false;
        }
        store.commit(transaction, urgency, outcome -> {
            if (outcome instanceof TransactionOutcome.Committed committed) {
                batch.forEach(page -> page.revision = committed.revision());
                writePages(rest, urgency, callback);
                return;
            }
            batch.forEach(page -> page.dirty = true);
            List<Page> conflicting = outcome instanceof TransactionOutcome.Conflict conflict
                    ? batch.stream()
                            .filter(page -> conflict.failedKeys().contains(key(page)))
                            .toList()
                    : List.of();
            reloadRevisions(new ArrayList<>(conflicting), () -> callback.accept(false));
        });
    }

    // A write without an answer has been applied after all: its revision has to be read.
    private void reloadRevisions(List<Page> conflicting, Runnable callback) {
        if (conflicting.isEmpty()) {
            callback.run();
            return;
        }
        Page page = conflicting.remove(conflicting.size() - 1);
        store.get(key(page), found -> {
            if (found != null) {
                page.revision =
                        found.isEmpty() ? Transaction.NO_REVISION : found.get(0).revision();
            }
            reloadRevisions(conflicting, callback);
        });
    }

    private String key(Page page) {
        return prefix + page.number;
    }
}
