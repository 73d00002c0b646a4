package io.quartzgw.store;

import java.util.Set;

/** How a transaction ended. */
public sealed interface TxnOutcome {

    /** All changes were applied, at this revision. */
    record Committed(long revision) implements TxnOutcome {}

    /** Nothing was written; these guards did not hold. */
    record Conflict(Set<String> failed) implements TxnOutcome {}

    /** Nothing was written; the hold that a write hangs on has ended. */
    record HoldEnded() implements TxnOutcome {}

    /** Nothing was written: the service refused, or this node's budget is spent. */
    record Refused() implements TxnOutcome {}

    /** No response: it may have been applied, or may yet be. */
    record Unknown() implements TxnOutcome {}
}
