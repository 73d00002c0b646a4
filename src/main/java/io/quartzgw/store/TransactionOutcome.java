package io.quartzgw.store;

import java.util.Set;

/** How a transaction ended. */
public sealed interface TransactionOutcome {

    /** All writes were applied, at this revision. */
    record Committed(long revision) implements TransactionOutcome {}

    /** Nothing was written; the preconditions on these keys did not hold. */
    record Conflict(Set<String> failedKeys) implements TransactionOutcome {}

    /** Nothing was written; a lease that a write refers to has expired. */
    record LeaseExpired() implements TransactionOutcome {}

    /** Nothing was written: the store refused, or this controller's budget is spent. */
    record Refused() implements TransactionOutcome {}

    /** No response: the transaction may have been applied, or may be applied later. */
    record Unknown() implements TransactionOutcome {}
}
