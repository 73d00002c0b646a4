package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a term whose fencing tokens are not above those of the previous term, also after a version change. */
class FencingTokensTest {

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 41, 4096, 4097, 1L << 40})
    void tokensExceedThoseOfPreviousTerm(long previousTerm) {
        long term = FencingTokens.termAfter(previousTerm);
        assertEquals(previousTerm + 1, FencingTokens.lowestOf(term));
        assertEquals(FencingTokens.PER_TERM, term - FencingTokens.lowestOf(term) + 1);
    }

    /** A version without token ranges increments terms by one and treats each token as a term. */
    @ParameterizedTest
    @ValueSource(longs = {4096, 8192})
    void keepsTermOrderAfterVersionWithoutTokenRanges(long term) {
        long oldVersionTerm = term + 1;
        assertTrue(oldVersionTerm > term);
        assertTrue(FencingTokens.lowestOf(FencingTokens.termAfter(oldVersionTerm)) > oldVersionTerm);
    }
}
