package io.quartzgw.store;

/** The result of reading all keys with a prefix. */
public sealed interface ListResult {

    /** All pages were read. */
    record Listed(StoreClient.Listing listing) implements ListResult {}

    /** The state service rejected the request for a page or did not respond. */
    record Unavailable() implements ListResult {}
}
