package io.quartzgw.eventloop;

import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;

/** An input of the event loop. */
public sealed interface LoopEvent {

    /** An inbound request was received. It gets exactly one {@link Effect.Answer}. */
    record RequestReceived(Request request) implements LoopEvent {}

    /** An outbound call ended, with or without a response. */
    record CallEnded(long call, Reply reply) implements LoopEvent {}
}
