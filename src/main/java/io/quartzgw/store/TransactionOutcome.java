package io.quartzgw.store;

import java.util.Set;

/** How a transaction ended. */
public sealed interface TransactionOutcome {

    /** All changes were applied, at this revision. */
    record Committed(long revision) implements TransactionOutcome {}

    /** Nothing was written; these guards did not hold. */
    record Conflict(Set<String> failedKeys) implements TransactionOutcome {}

    /** Nothing was written; the hold that a write hangs on has ended. */
    record LeaseExpired() implements TransactionOutcome {}

    /** Nothing was written: the service refused, or this node's budget is spent. */
    record Refused() implements TransactionOutcome {}

    /** No response: it may have been applied, or may yet be. */
    record Unknown() implements TransactionOutcome {}
}
