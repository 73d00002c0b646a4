package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What all controllers may write together, whatever becomes of messages and leaders. */
class WriteBudgetAllocatorTest {
    private static final int MEMBERS = 5;
    private static final long LIFE_MS = 2_000;
    private static final long HEARTBEAT_MS = 800;
    private static final StoreLimits LIMITS = new StoreLimits(100, 15, 4096, 12);
    private static final double MOST_PER_S = 0.9 * LIMITS.writesPerS();
    private static final double EPSILON = 1e-9;

    private final SplittableRandom random = new SplittableRandom(3);

    /** A controller that borrows; an answer may reach it late. */
    private static final class Member {
        private final String name;
        private double wantedPerS;
        private double grantedPerS;
        private long grantedUntil;

        Member(int number) {
            this.name = "rig-" + number;
        }

        double perS(long now) {
            return LIMITS.perNode(MEMBERS).writesPerS() + (now < grantedUntil ? grantedPerS : 0);
        }
    }

    private record LateAnswer(Member member, double grantedPerS, long asked, long at) {}

    private static List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new Member(i));
        }
        return members;
    }

    private static double together(List<Member> members, long now) {
        return members.stream().mapToDouble(member -> member.perS(now)).sum();
    }

    // Guards the limit that all controllers share, through lost and late answers, a leader that stood still before it
    // answered, and leaders that follow each other at once.
    @Test
    void togetherNeverMoreThanTheLimit() {
        List<Member> members = members();
        List<LateAnswer> late = new ArrayList<>();
        WriteBudgetAllocator leader = new WriteBudgetAllocator(LIMITS, MEMBERS, LIFE_MS, 0);
        double most = 0;
        for (long now = 0; now < 2_000_000; now += 50) {
            if (random.nextInt(100) == 0) {
                leader = new WriteBudgetAllocator(LIMITS, MEMBERS, LIFE_MS, now);
            }
            for (Member member : members) {
                if (random.nextInt(40) == 0) {
                    member.wantedPerS = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
                }
                if (random.nextInt((int) (HEARTBEAT_MS / 50)) == 0) {
                    long asked = now - random.nextInt(500);
                    double grantedPerS = leader.grant(member.name, member.wantedPerS, now);
                    if (leader.canGrant(now) && random.nextInt(5) > 0) {
                        late.add(new LateAnswer(member, grantedPerS, asked, now + random.nextInt(3_000)));
                    }
                }
            }
            for (LateAnswer answer : List.copyOf(late)) {
                if (answer.at <= now) {
                    late.remove(answer);
                    answer.member.grantedPerS = answer.grantedPerS;
                    answer.member.grantedUntil = answer.asked + LIFE_MS;
                }
            }
            double together = together(members, now);
            assertTrue(together <= MOST_PER_S + EPSILON, "at " + now + ": " + together);
            most = Math.max(most, together);
        }
        assertTrue(most > 0.95 * MOST_PER_S, "and the limit is made use of: " + most);
    }

    private static void beatUntilSettled(WriteBudgetAllocator leader, List<Member> members) {
        for (long now = 0; now <= 5 * LIFE_MS; now += HEARTBEAT_MS) {
            for (Member member : members) {
                member.grantedPerS = leader.grant(member.name, member.wantedPerS, now);
                member.grantedUntil = now + LIFE_MS;
            }
        }
    }

    // Guards a leader that starts and ends many tasks while the others have little to write, and the reverse.
    @Test
    void whoNeedsMoreGetsWhatTheOthersLeave() {
        List<Member> members = members();
        members.get(2).wantedPerS = 50;
        beatUntilSettled(new WriteBudgetAllocator(LIMITS, MEMBERS, LIFE_MS, 0), members);
        assertEquals(LIMITS.sharedWritesPerS(), members.get(2).grantedPerS, EPSILON, "all that is grantedPerS");
        members.get(4).wantedPerS = 50;
        beatUntilSettled(new WriteBudgetAllocator(LIMITS, MEMBERS, LIFE_MS, 0), members);
        assertEquals(members.get(2).grantedPerS, members.get(4).grantedPerS, EPSILON, "two in need share evenly");
        assertEquals(LIMITS.sharedWritesPerS(), members.get(2).grantedPerS + members.get(4).grantedPerS, EPSILON);
    }

    @Test
    void aLoanEndsAtItsTimeAndWhatItBroughtWithIt() {
        TokenBucket budget = new TokenBucket(2, 0);
        budget.grant(8, 1_000, 0);
        assertEquals(0, budget.waitMsFor(10, 999), "one second's worth of both rates");
        assertEquals(0, budget.waitMsFor(2, 1_000));
        budget.take(2, 1_000);
        assertEquals(500, budget.waitMsFor(1, 1_000), "nothing beyond its own rate has been kept");
    }
}
