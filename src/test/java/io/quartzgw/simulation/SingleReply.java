package io.quartzgw.simulation;

import io.quartzgw.http.Reply;
import java.util.function.Consumer;

/** Passes on the first reply to a request, either the response or a timeout, and ignores later ones. */
final class SingleReply implements Consumer<Reply> {
    private final Consumer<Reply> receiver;
    private boolean received;

    SingleReply(Consumer<Reply> receiver) {
        this.receiver = receiver;
    }

    @Override
    public void accept(Reply reply) {
        if (!received) {
            received = true;
            receiver.accept(reply);
        }
    }
}
