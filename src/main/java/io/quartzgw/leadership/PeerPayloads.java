package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * The source and the receivers of the message parts that {@link PeerExchange} does not interpret.
 *
 * @param countsSource returns the next page of the leader's job counts, with at most the given number of jobs; empty if
 *     this controller has none
 * @param countsListener receives each page of the leader's job counts, including those of this controller
 * @param noticeListener receives a peer's notice about a job
 */
public record PeerPayloads(
        IntFunction<Optional<JsonNode>> countsSource,
        Consumer<JsonNode> countsListener,
        Consumer<JsonNode> noticeListener) {

    /** Supplies no job counts and ignores received job counts and notices. */
    static final PeerPayloads NONE = new PeerPayloads(maxJobs -> Optional.empty(), counts -> {}, notice -> {});
}
