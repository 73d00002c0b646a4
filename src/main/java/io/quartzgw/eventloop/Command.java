package io.quartzgw.eventloop;

import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;

/** An input of the event loop. */
public sealed interface Command {

    /** A request arrived; it gets exactly one {@link Effect.Answer}. */
    record Arrived(Request request) implements Command {}

    /** An outbound call ended, with a response or without one. */
    record CallEnded(long call, Reply reply) implements Command {}
}
