package io.quartzgw.simulation;

import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;

/**
 * The time up to which a process is known to hold a lease of the state service, derived from its requests and their
 * replies alone. This simple model is independent of the controllers' own computation, and checks it.
 */
final class ConfirmedLease {
    private static final String LEASES_PATH = "/holds";
    private static final String RENEWAL_SUFFIX = "/extend";

    private long durationMs;
    private long confirmedUntil = Long.MIN_VALUE;

    /** Whether the lease that was last granted or renewed is known to be valid at a time. */
    boolean isHeldAt(long now) {
        return now < confirmedUntil;
    }

    /** Records a request that the process sends. */
    void recordRequest(Call call) {
        if (isGrant(call)) {
            durationMs = Json.readOrNull(call.body()).path("life_ms").asLong();
        } else if (isRevocation(call)) {
            confirmedUntil = Long.MIN_VALUE;
        }
    }

    /** Records the reply to a request. A lease is valid at least for its duration after the request was sent. */
    void recordReply(Call call, long sentAt, Reply reply) {
        if (reply.ok() && (isGrant(call) || isRenewal(call))) {
            confirmedUntil = Math.max(confirmedUntil, sentAt + durationMs);
        }
    }

    private static boolean isGrant(Call call) {
        return call.path().equals(LEASES_PATH);
    }

    private static boolean isRenewal(Call call) {
        return call.path().startsWith(LEASES_PATH) && call.path().endsWith(RENEWAL_SUFFIX);
    }

    private static boolean isRevocation(Call call) {
        return call.path().startsWith(LEASES_PATH) && call.method().equals("DELETE");
    }
}
