package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * The source and the receivers of those parts of messages that {@link PeerExchange} only passes on.
 *
 * @param countsSource the next page of the leader's job counts, of so many jobs at the most; empty when this controller
 *     has none
 * @param countsListener receives each page of the leader's job counts, this controller's own as well
 * @param noticeListener receives a peer's notice about a job
 */
public record PeerPayloads(
        IntFunction<Optional<JsonNode>> countsSource,
        Consumer<JsonNode> countsListener,
        Consumer<JsonNode> noticeListener) {

    /** Supplies nothing, and ignores what is received. */
    static final PeerPayloads NONE = new PeerPayloads(maxJobs -> Optional.empty(), counts -> {}, notice -> {});
}
