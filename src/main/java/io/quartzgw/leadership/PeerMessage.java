package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.cancellation.CancellationAnnouncement;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A message from one controller to another, or the answer to one.
 *
 * @param sequence the number of the message among those of its process
 * @param writeDemandPerS how many writes of the state store the sender wants to make a second
 */
record PeerMessage(
        ControllerIdentity sender,
        long sequence,
        PeerStatus status,
        CancellationAnnouncement cancellations,
        double writeDemandPerS,
        Attachments attachments) {

    /**
     * What only some messages have.
     *
     * @param jobCounts a page of the leader's job counts, which this package only passes on
     * @param notice a notice about a job for the leader, which this package only passes on
     * @param writeGrantPerS how many writes a second the leader grants to the receiver of this answer
     */
    record Attachments(Optional<JsonNode> jobCounts, Optional<JsonNode> notice, OptionalDouble writeGrantPerS) {
        static final Attachments NONE = new Attachments(Optional.empty(), Optional.empty(), OptionalDouble.empty());

        static Attachments ofJobCounts(JsonNode counts) {
            return new Attachments(Optional.of(counts), Optional.empty(), OptionalDouble.empty());
        }

        static Attachments ofNotice(JsonNode notice) {
            return new Attachments(Optional.empty(), Optional.of(notice), OptionalDouble.empty());
        }

        static Attachments ofWriteGrant(double writesPerS) {
            return new Attachments(Optional.empty(), Optional.empty(), OptionalDouble.of(writesPerS));
        }
    }

    PeerMessage with(Attachments attached) {
        return new PeerMessage(sender, sequence, status, cancellations, writeDemandPerS, attached);
    }
}
