package io.quartzgw.eventloop;

import io.quartzgw.http.Call;
import io.quartzgw.http.Response;

/**
 * An output of the event loop, executed outside its thread.
 *
 * <p>A controller may lose the right to send something before it is sent, because the process may be paused in between.
 * So an effect may have an expiry time, after which it is no longer executed.
 */
public sealed interface Effect {
    /** Expiry time of effects that may be executed at any later time. */
    long ALWAYS_VALID = Long.MAX_VALUE;

    /** The expiry time in milliseconds of the steady clock, from which on the effect must not be executed. */
    long validUntilMs();

    /** Answers an inbound request. If the response has expired, the client gets a 503 response instead. */
    record Answer(long exchange, Response response, long validUntilMs) implements Effect {}

    /**
     * Starts an outbound call, which ends in one {@link LoopEvent.CallEnded}. If it expires before it can be sent, the
     * reply reports it as unsent.
     */
    record Send(long call, Call request, long validUntilMs) implements Effect {}
}
