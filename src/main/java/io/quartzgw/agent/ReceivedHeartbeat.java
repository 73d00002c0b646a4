package io.quartzgw.agent;

import io.quartzgw.liveness.AgentLiveness.Freshness;
import java.util.Optional;

/**
 * A heartbeat that has been received and awaits its response.
 *
 * @param freshness how it was classified; empty if it was received before the stored state was loaded
 */
public record ReceivedHeartbeat(Heartbeat heartbeat, Optional<Freshness> freshness) {

    static ReceivedHeartbeat beforeStateLoaded(Heartbeat heartbeat) {
        return new ReceivedHeartbeat(heartbeat, Optional.empty());
    }

    static ReceivedHeartbeat processed(Heartbeat heartbeat, Freshness freshness) {
        return new ReceivedHeartbeat(heartbeat, Optional.of(freshness));
    }
}
