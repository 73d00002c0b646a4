package io.quartzgw.eventloop;

import io.quartzgw.http.Call;
import io.quartzgw.http.Response;

/**
 * An output of the event loop, carried out outside its thread.
 *
 * <p>The right to send something may end before it leaves: the process may be paused between the two. So an effect may
 * have a moment of the steady clock from which on it is not carried out any more.
 */
public sealed interface Effect {
    /** For what may leave at any later time. */
    long ALWAYS_VALID = Long.MAX_VALUE;

    /** The moment, in milliseconds of the steady clock, from which on this may not leave any more. */
    long validUntilMs();

    /** Answers an inbound request; if the response is not valid any more, the request is answered as unavailable. */
    record Answer(long exchange, Response response, long validUntilMs) implements Effect {}

    /**
     * Starts an outbound call; it ends in one {@link Command.CallEnded}. If it is not valid any more when it could
     * leave, it ends as one that was not sent.
     */
    record Send(long call, Call request, long validUntilMs) implements Effect {}
}
