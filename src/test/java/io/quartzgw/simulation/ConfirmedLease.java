package io.quartzgw.simulation;

import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;

/**
 * Until when a process can be sure to hold a lease of the state service, as its requests and their responses show it: a
 * plain model, with which the controllers' own account is compared.
 */
final class ConfirmedLease {
    private static final String LEASES_PATH = "/holds";
    private static final String RENEWAL_SUFFIX = "/extend";

    private long durationMs;
    private long confirmedUntil = Long.MIN_VALUE;

    /** Whether the last lease that was granted or renewed has surely not expired. */
    boolean isHeldAt(long now) {
        return now < confirmedUntil;
    }

    /** The process sends a request. */
    void recordRequest(Call call) {
        if (isGrant(call)) {
            durationMs = Json.readOrNull(call.body()).path("life_ms").asLong();
        } else if (isRevocation(call)) {
            confirmedUntil = Long.MIN_VALUE;
        }
    }

    /** The process has received the reply to a request that was sent at a time. */
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
