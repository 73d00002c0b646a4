package io.quartzgw.worker;

import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Machine;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** What the leader has under way with one worker. */
final class Session {
    final Machine machine;
    /** Ended attempts that the worker still reports. */
    final Set<Attempt> ended = new HashSet<>();
    /** Of those, the attempts that may be removed: what came of them is in the state service. */
    final Set<Attempt> reapable = new HashSet<>();
    /** Attempts of which a copy of the start order is unaccounted for in this session. */
    final Set<Attempt> unacknowledged = new HashSet<>();
    /** Attempts to be stopped that the leader has no place for. */
    final Set<Attempt> strays = new HashSet<>();
    /** Whether a direct order is under way; there is one at a time, so that orders keep their order. */
    boolean calling;
    /** The bookings whose start is in the direct order under way. */
    final Set<Booking> inCall = new HashSet<>();
    /** What the worker had told, of its session and counter, when the direct order under way was sent. */
    long tenureAtCall;

    long counterAtCall;
    /** When the worker was last asked for its report. */
    long contactedAt = Long.MIN_VALUE / 2;

    private byte[] listing = new byte[0];

    Session(Machine machine) {
        this.machine = machine;
    }

    /** Whether a list of tasks differs from the last one that was applied; from now on this is the last one. */
    boolean tells(byte[] told) {
        boolean news = !Arrays.equals(listing, told);
        listing = told;
        return news;
    }

    void newTenure() {
        listing = new byte[0];
        // The worker has forgotten everything, and refuses late copies that name the old session.
        ended.clear();
        reapable.clear();
        unacknowledged.clear();
        strays.clear();
    }
}
