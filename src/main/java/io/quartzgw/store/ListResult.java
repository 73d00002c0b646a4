package io.quartzgw.store;

/** The result of a read of all keys with a prefix. */
public sealed interface ListResult {

    /** All pages were read. */
    record Listed(StoreClient.Listing listing) implements ListResult {}

    /** The store refused a page or did not answer. */
    record Unavailable() implements ListResult {}
}
