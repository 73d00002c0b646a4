package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/**
 * Many small records packed into a few values (pages) under one prefix. A page is written as a whole, at the same cost
 * for one changed record as for a hundred.
 *
 * <p>The state service may apply a transaction minutes late. Every write of a page requires the page's current
 * revision, so at most one of several writes based on the same revision is applied, and a delayed duplicate has no
 * effect.
 *
 * <p>The maximum size of a value may change between the process that stores a page and the one that reads it, and a
 * record may grow. A page that exceeds the limit remains readable; when it is next written, records move to new pages.
 */
public final class PackedRecords {
    /** The fraction of a value's maximum size that new records may fill; the rest is reserved for punctuation. */
    private static final double FILL_FACTOR = 0.85;
    /**
     * Maximum size of all pages in a transaction. The state service's limit of 64 KiB includes the rest of the request.
     */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    private static final Pattern PAGE_NUMBER = Pattern.compile("\\d{1,9}");

    private final StoreClient store;
    private final String prefix;
    private final Supplier<Transaction> transactionFactory;
    private final int pageBytes;
    private final int pagesPerTransaction;
    private final Map<Integer, RecordPage> pages = new TreeMap<>();
    private final Map<String, RecordPage> pageByKey = new HashMap<>();

    /** The remaining pages of one {@link #write}. */
    private record PendingWrite(List<RecordPage> pages, RequestUrgency urgency, Consumer<Boolean> callback) {}

    /** @param transactionFactory creates an empty transaction that only the current leader can commit */
    public PackedRecords(StoreClient store, String prefix, Supplier<Transaction> transactionFactory) {
        this.store = store;
        this.prefix = prefix;
        this.transactionFactory = transactionFactory;
        this.pageBytes = (int) (store.maxValueBytes() * FILL_FACTOR);
        this.pagesPerTransaction =
                Math.max(1, Math.min(store.maxTransactionWrites(), MAX_TRANSACTION_BYTES / store.maxValueBytes()));
    }

    /** Loads the stored pages and passes each record to the consumer, which may remove it. */
    public void load(List<KeyValue> entries, BiConsumer<String, JsonNode> consumer) {
        List<KeyValue> byRevision = entries.stream()
                .sorted(Comparator.comparingLong(KeyValue::revision))
                .toList();
        for (KeyValue entry : byRevision) {
            RecordPage page = RecordPage.decode(pageNumber(entry), entry);
            pages.put(page.number(), page);
            List.copyOf(page.keys()).forEach(key -> assignToPage(key, page));
        }
        List.copyOf(pageByKey.keySet())
                .forEach(key -> consumer.accept(key, pageByKey.get(key).record(key)));
    }

    private int pageNumber(KeyValue entry) {
        return Integer.parseInt(entry.key().substring(prefix.length()));
    }

    // A record that has moved, or was removed lazily and then put on another page, may be stored on both pages. The one
    // that was written later has the present record.
    private void assignToPage(String key, RecordPage page) {
        RecordPage previous = pageByKey.put(key, page);
        if (previous != null) {
            previous.remove(key);
            previous.setOutdated(true);
        }
    }

    /** Whether the key has the form of a page key. */
    public boolean isPageKey(String key) {
        return key.startsWith(prefix)
                && PAGE_NUMBER.matcher(key.substring(prefix.length())).matches();
    }

    /** Registers a stored page that can't be decoded. It receives no records and is not written. */
    public void addUnreadablePage(KeyValue entry) {
        RecordPage page = RecordPage.empty(pageNumber(entry));
        page.setRevision(entry.revision());
        page.setUnreadable(true);
        pages.put(page.number(), page);
    }

    /** Replaces the unreadable pages by empty ones with the next {@link #write}. */
    public void resetUnreadablePages() {
        pages.values().stream().filter(RecordPage::unreadable).forEach(page -> {
            page.setUnreadable(false);
            page.setDirty(true);
        });
    }

    /** The number of pages. */
    public int pageCount() {
        return pages.size();
    }

    /**
     * Marks the pages whose stored copies contain removed records as dirty, so that the next {@link #write} includes
     * them.
     */
    public void rewriteOutdatedPages() {
        pages.values().stream().filter(RecordPage::outdated).forEach(page -> page.setDirty(true));
    }

    /**
     * Adds or replaces a record. It is stored with the next {@link #write}.
     *
     * @param reservedBytes the size up to which the record may grow later without moving to another page
     */
    public void put(String key, JsonNode record, int reservedBytes) {
        int size = RecordPage.recordSizeBytes(key, record, reservedBytes);
        RecordPage page = pageByKey.get(key);
        if (page == null) {
            page = pageWithRoomFor(key, size).orElseGet(this::addPage);
            pageByKey.put(key, page);
        }
        page.put(key, record, size);
        page.setDirty(true);
    }

    private Optional<RecordPage> pageWithRoomFor(String key, int size) {
        return pages.values().stream()
                .filter(page -> !page.unreadable() && page.totalBytesWith(key, size) <= pageBytes)
                .findFirst();
    }

    private RecordPage addPage() {
        int number =
                pages.keySet().stream().mapToInt(existing -> existing + 1).max().orElse(0);
        RecordPage page = RecordPage.empty(number);
        pages.put(number, page);
        return page;
    }

    /** Whether there is a record with this key. */
    public boolean contains(String key) {
        return pageByKey.containsKey(key);
    }

    /** The number of pages that the next {@link #write} includes. */
    public int dirtyPageCount() {
        return dirtyPages().size();
    }

    private List<RecordPage> dirtyPages() {
        return pages.values().stream().filter(RecordPage::dirty).toList();
    }

    /** Removes a record. It remains in the state service until its page is next written. */
    public void removeLazily(String key) {
        removeFromPage(key);
    }

    /** Removes a record. The removal is stored with the next {@link #write}. */
    public void remove(String key) {
        removeFromPage(key).ifPresent(page -> page.setDirty(true));
    }

    private Optional<RecordPage> removeFromPage(String key) {
        Optional<RecordPage> page = Optional.ofNullable(pageByKey.remove(key));
        page.ifPresent(found -> {
            found.remove(key);
            found.setOutdated(true);
        });
        return page;
    }

    /**
     * Writes all changes made so far, and passes to the callback whether all of them were stored. Callers must wait for
     * the callback before the next write. Changes made in the meantime are left for the next write: with a small budget
     * there are always some, and a write that included them would never complete.
     */
    public void write(RequestUrgency urgency, Consumer<Boolean> callback) {
        splitOversizedPages();
        // A record moves to a page with a higher number, which is written first, so that it is stored at any time.
        List<RecordPage> inWriteOrder = dirtyPages().stream()
                .sorted(Comparator.comparingInt(RecordPage::number).reversed())
                .toList();
        writeNextBatch(new PendingWrite(inWriteOrder, urgency, callback));
    }

    // The state service rejects an oversized page, which would block the writes of all pages permanently.
    private void splitOversizedPages() {
        dirtyPages().stream()
                .filter(page -> page.totalBytes() > store.maxValueBytes())
                .forEach(this::split);
    }

    private void split(RecordPage page) {
        Deque<String> keys = new ArrayDeque<>(page.keys());
        RecordPage target = addPage();
        while (page.totalBytes() > pageBytes && keys.size() > 1) {
            String key = keys.removeLast();
            if (target.totalBytesWith(key, page.recordBytes(key)) > pageBytes
                    && !target.keys().isEmpty()) {
                target = addPage();
            }
            target.put(key, page.record(key), page.recordBytes(key));
            target.setDirty(true);
            page.remove(key);
            pageByKey.put(key, target);
        }
    }

    private void writeNextBatch(PendingWrite write) {
        if (write.pages().isEmpty()) {
            write.callback().accept(true);
            return;
        }
        // At most the writes of one second, so that other callers can write in between.
        int maxPages = Math.max(1, Math.min(pagesPerTransaction, (int) store.writesPerS()));
        int batchSize = Math.min(maxPages, write.pages().size());
        List<RecordPage> batch = write.pages().subList(0, batchSize);
        List<RecordPage> rest = write.pages().subList(batchSize, write.pages().size());
        PendingWrite remainder = new PendingWrite(rest, write.urgency(), write.callback());
        store.commit(buildTransaction(batch), write.urgency(), outcome -> onOutcome(outcome, batch, remainder));
    }

    private Transaction buildTransaction(List<RecordPage> batch) {
        Transaction transaction = transactionFactory.get();
        for (RecordPage page : batch) {
            transaction.require(pageKey(page), page.revision()).put(pageKey(page), page.encode());
            page.setDirty(false);
            page.setOutdated(false);
        }
        return transaction;
    }

    private void onOutcome(TransactionOutcome outcome, List<RecordPage> batch, PendingWrite remainder) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            batch.forEach(page -> page.setRevision(committed.revision()));
            writeNextBatch(remainder);
            return;
        }
        batch.forEach(page -> page.setDirty(true));
        Deque<RecordPage> conflicting = new ArrayDeque<>();
        if (outcome instanceof TransactionOutcome.Conflict conflict) {
            batch.stream()
                    .filter(page -> conflict.failedKeys().contains(pageKey(page)))
                    .forEach(conflicting::add);
        }
        reloadRevisions(conflicting, () -> remainder.callback().accept(false));
    }

    // A conflict means that an earlier, unanswered write was applied, so the page's current revision must be read.
    private void reloadRevisions(Deque<RecordPage> conflicting, Runnable callback) {
        if (conflicting.isEmpty()) {
            callback.run();
            return;
        }
        RecordPage page = conflicting.removeLast();
        store.read(pageKey(page), result -> {
            if (result instanceof ReadResult.Found found) {
                page.setRevision(found.entry().revision());
            } else if (result instanceof ReadResult.Absent) {
                page.setRevision(Transaction.NO_REVISION);
            }
            reloadRevisions(conflicting, callback);
        });
    }

    private String pageKey(RecordPage page) {
        return prefix + page.number();
    }
}
