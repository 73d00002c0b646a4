package io.quartzgw.store;

import java.util.Set;

/** The outcome of a transaction. */
public sealed interface TransactionOutcome {

    /** All writes were applied, at this revision. */
    record Committed(long revision) implements TransactionOutcome {}

    /** Nothing was written because the preconditions on these keys failed. */
    record Conflict(Set<String> failedKeys) implements TransactionOutcome {}

    /** Nothing was written because a lease referenced by a write has expired. */
    record LeaseExpired() implements TransactionOutcome {}

    /** Nothing was written because the state service rejected the request or this controller's budget is exhausted. */
    record Refused() implements TransactionOutcome {}

    /** No response was received. The transaction may have been applied or may be applied later. */
    record Unknown() implements TransactionOutcome {}
}
