package io.quartzgw.replication;

/** What a new leader learns of the starts of former leaders that may still be on their way. */
public sealed interface FormerStarts {

    /**
     * All of them are known.
     *
     * @param source the controller whose replica it is
     * @param replica the replica
     */
    record Known(String source, StartReplica replica) implements FormerStarts {}

    /**
     * No controller that could be reached in time holds a complete replica.
     *
     * @param controllersWithoutReplica how many of the others have answered that they hold none
     */
    record Unknown(int controllersWithoutReplica) implements FormerStarts {}
}
