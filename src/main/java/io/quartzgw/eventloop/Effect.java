package io.quartzgw.eventloop;

import io.quartzgw.http.Call;
import io.quartzgw.http.Response;

/** An output of the event loop, carried out outside its thread. */
public sealed interface Effect {

    /** Answers an inbound request. */
    record Answer(long exchange, Response response) implements Effect {}

    /** Starts an outbound call; it ends in one {@link Command.CallEnded}. */
    record Send(long call, Call request) implements Effect {}
}
