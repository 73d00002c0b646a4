package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.cancellation.CancellationAnnouncement;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A message from one controller to another, or the response to one.
 *
 * @param sequence the sequence number of the message within the sending process
 * @param writeDemandPerS the number of writes per second to the state service that the sender needs
 */
record PeerMessage(
        ControllerIdentity sender,
        long sequence,
        PeerStatus status,
        CancellationAnnouncement cancellations,
        double writeDemandPerS,
        Attachments attachments) {

    /**
     * The optional parts of a message.
     *
     * @param jobCounts a page of the leader's job counts, which this package does not interpret
     * @param notice a notice to the leader about a job, which this package does not interpret
     * @param writeGrantPerS the writes per second that the leader grants to the receiver of this response
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
