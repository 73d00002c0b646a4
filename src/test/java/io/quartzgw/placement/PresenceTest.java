package io.quartzgw.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What each kind of message can and can't prove. */
class PresenceTest {
    private final Presence presence = new Presence(0);

    // Guards the gather window: a new leader knows no older counter to hold a late copy against.
    @Test
    void aReportWithoutThisLeadersTokenIsUnverified() {
        presence.formerAnswers(30_000);
        assertEquals(Presence.Freshness.UNVERIFIED, presence.classify(1, 70, false, false));
        presence.answered(1_000);
        assertFalse(presence.verified());
        assertEquals(30_000, presence.lastAnswered(), "a former leader may answer it until its grace ends");
        assertEquals(Presence.Freshness.CURRENT, presence.classify(1, 71, true, false));
        presence.heard(1, 71, 2_000);
        assertEquals(2_000, presence.lastAnswered(), "no former leader can any more");
    }

    // Guards the hold: a stale report renews nothing, and brings nothing back.
    @Test
    void aReportOlderThanTheLastIsStale() {
        presence.heard(2, 5, 1_000);
        presence.answered(1_000);
        assertEquals(Presence.Freshness.STALE, presence.classify(2, 5, true, false));
        assertEquals(Presence.Freshness.STALE, presence.classify(1, 900, true, false));
        assertEquals(Presence.Freshness.CURRENT, presence.classify(3, 1, true, false));
    }

    // Guards a machine with a new worker against copies of the former one's reports, which count higher.
    @Test
    void afterANewWorkerOnlyAnswersToOrdersAreCurrent() {
        presence.heard(1, 80, 1_000);
        presence.workerReplaced(1, 2);
        assertEquals(Presence.Freshness.CURRENT, presence.classify(1, 2, true, true));
        presence.heard(1, 2, 1_500);
        assertEquals(Presence.Freshness.UNVERIFIED, presence.classify(1, 81, true, false), "a copy");
        assertEquals(Presence.Freshness.UNVERIFIED, presence.classify(1, 3, true, false), "or not");
        assertEquals(Presence.Freshness.CURRENT, presence.classify(1, 4, true, true));
    }

    @Test
    void aWorkerThatLeftAnOrderUnansweredIsReachedOnlyByAnAnswer() {
        presence.heard(1, 1, 0);
        presence.lostTouch(500);
        presence.heard(1, 2, 1_000);
        presence.lostTouch(1_500);
        assertTrue(presence.unreachable());
        assertEquals(500, presence.unreachableSince());
        presence.answersOrders();
        assertFalse(presence.unreachable());
    }
}
