package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The writes of all controllers together, whatever happens to messages and leaders. */
class WriteBudgetAllocatorTest {
    private static final int MEMBERS = 5;
    private static final long GRANT_MS = 2_000;
    private static final long HEARTBEAT_MS = 800;
    private static final long STEP_MS = 50;
    private static final StoreLimits LIMITS = new StoreLimits(100, 15, 4096, 12);
    private static final double MAX_PER_S = 0.9 * LIMITS.writesPerS();
    private static final double EPSILON = 1e-9;

    private final SplittableRandom random = new SplittableRandom(3);

    /** A controller that is granted writes; an answer may reach it late. */
    private static final class Member {
        private final String name;
        private double wantedPerS;
        private double grantedPerS;
        private long grantedUntilMs;

        Member(int number) {
            this.name = "rig-" + number;
        }

        void apply(double writesPerS, long askedAtMs) {
            grantedPerS = writesPerS;
            grantedUntilMs = askedAtMs + GRANT_MS;
        }

        double writesPerS(long nowMs) {
            return LIMITS.perController(MEMBERS).writesPerS() + (nowMs < grantedUntilMs ? grantedPerS : 0);
        }
    }

    private record LateAnswer(Member member, double grantedPerS, long askedAtMs, long arrivesAtMs) {}

    private static List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new Member(i));
        }
        return members;
    }

    private static double totalPerS(List<Member> members, long nowMs) {
        return members.stream().mapToDouble(member -> member.writesPerS(nowMs)).sum();
    }

    /** Sometimes changes a member's demand, and sometimes lets it ask; the answer may be lost or late. */
    private void step(WriteBudgetAllocator leader, Member member, List<LateAnswer> answers, long nowMs) {
        if (random.nextInt(40) == 0) {
            member.wantedPerS = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
        }
        if (random.nextInt((int) (HEARTBEAT_MS / STEP_MS)) != 0) {
            return;
        }
        long askedAtMs = nowMs - random.nextInt(500);
        Optional<Double> granted = leader.grant(member.name, member.wantedPerS, nowMs);
        if (granted.isPresent() && random.nextInt(5) > 0) {
            answers.add(new LateAnswer(member, granted.get(), askedAtMs, nowMs + random.nextInt(3_000)));
        }
    }

    private static void deliver(List<LateAnswer> answers, long nowMs) {
        for (LateAnswer answer : List.copyOf(answers)) {
            if (answer.arrivesAtMs() <= nowMs) {
                answers.remove(answer);
                answer.member().apply(answer.grantedPerS(), answer.askedAtMs());
            }
        }
    }

    // Guards the limit that all controllers share, through lost and late answers, a leader that was paused before it
    // answered, and leaders that follow each other at once.
    @Test
    void totalStaysWithinTheLimitWithLateAnswersAndNewLeaders() {
        List<Member> members = members();
        List<LateAnswer> answers = new ArrayList<>();
        WriteBudgetAllocator leader = new WriteBudgetAllocator(LIMITS, MEMBERS, GRANT_MS, 0);
        double maxTotalPerS = 0;
        for (long nowMs = 0; nowMs < 2_000_000; nowMs += STEP_MS) {
            if (random.nextInt(100) == 0) {
                leader = new WriteBudgetAllocator(LIMITS, MEMBERS, GRANT_MS, nowMs);
            }
            for (Member member : members) {
                step(leader, member, answers, nowMs);
            }
            deliver(answers, nowMs);
            double total = totalPerS(members, nowMs);
            assertTrue(total <= MAX_PER_S + EPSILON, "at " + nowMs + ": " + total);
            maxTotalPerS = Math.max(maxTotalPerS, total);
        }
        assertTrue(maxTotalPerS > 0.95 * MAX_PER_S, "and the limit is made use of: " + maxTotalPerS);
    }

    private static void exchangeUntilSettled(WriteBudgetAllocator leader, List<Member> members) {
        for (long nowMs = 0; nowMs <= 5 * GRANT_MS; nowMs += HEARTBEAT_MS) {
            for (Member member : members) {
                member.apply(leader.grant(member.name, member.wantedPerS, nowMs).orElse(0.0), nowMs);
            }
        }
    }

    // Guards a leader that starts and ends many tasks while the others have little to write, and the reverse.
    @Test
    void membersWithDemandAreGrantedWhatOthersLeave() {
        List<Member> members = members();
        members.get(2).wantedPerS = 50;
        exchangeUntilSettled(new WriteBudgetAllocator(LIMITS, MEMBERS, GRANT_MS, 0), members);
        assertEquals(LIMITS.sharedWritesPerS(), members.get(2).grantedPerS, EPSILON, "all of the shared part");
        members.get(4).wantedPerS = 50;
        exchangeUntilSettled(new WriteBudgetAllocator(LIMITS, MEMBERS, GRANT_MS, 0), members);
        assertEquals(members.get(2).grantedPerS, members.get(4).grantedPerS, EPSILON, "two in need share evenly");
        assertEquals(LIMITS.sharedWritesPerS(), members.get(2).grantedPerS + members.get(4).grantedPerS, EPSILON);
    }

    @Test
    void grantedRateExpiresTogetherWithItsUnusedTokens() {
        TokenBucket budget = new TokenBucket(2, 0);
        budget.grant(8, 1_000, 0);
        assertEquals(0, budget.waitMsFor(10, 999), "one second's worth of both rates");
        assertEquals(0, budget.waitMsFor(2, 1_000));
        budget.take(2, 1_000);
        assertEquals(500, budget.waitMsFor(1, 1_000), "nothing beyond its own rate has been kept");
    }
}
