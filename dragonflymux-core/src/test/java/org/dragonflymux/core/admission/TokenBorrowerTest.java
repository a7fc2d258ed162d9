package org.dragonflymux.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenBorrowerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RateLimit LIMIT = new RateLimit(100, 50);
    private static final Duration PATIENCE = Duration.ofMillis(250);

    private final TokenBorrower borrower = TokenBorrower.withPatience(PATIENCE);

    @Test
    void asksOnceForAllThatWait() {
        borrower.arrive(1, START);
        borrower.arrive(2, START);
        assertThat(borrower.due(7, LIMIT, START))
                .get()
                .extracting(TokenBorrower.Question::tokens)
                .isEqualTo(2);
        assertThat(borrower.due(8, LIMIT, START.plusMillis(10))).isEmpty();
    }

    @Nested
    class Tokens {

        @Test
        void admitInTheOrderOfArrival() {
            borrower.arrive(1, START);
            borrower.arrive(2, START);
            borrower.due(7, LIMIT, START);
            var decision = borrower.lent(7, 1, Duration.ofMillis(10), LIMIT, START.plusMillis(1));
            assertThat(decision.admitted()).containsExactly(1L);
            assertThat(decision.refused()).isEmpty();
        }

        @Test
        void thatComeLateAreThrownAway() {
            borrower.arrive(1, START);
            borrower.due(7, LIMIT, START);
            var decision = borrower.lent(7, 1, Duration.ZERO, LIMIT, START.plus(LIMIT.loan()));
            assertThat(decision.admitted()).isEmpty();
            assertThat(decision.refused()).isEmpty();
            assertThat(borrower.due(8, LIMIT, START.plus(LIMIT.loan()))).isPresent();
        }

        @Test
        void ofAnotherLoanChangeNothing() {
            borrower.arrive(1, START);
            borrower.due(7, LIMIT, START);
            assertThat(borrower.lent(6, 1, Duration.ZERO, LIMIT, START).admitted())
                    .isEmpty();
        }
    }

    @Test
    void refusesOnlyAfterThePatienceOfARequest() {
        borrower.arrive(1, START);
        borrower.due(7, LIMIT, START);
        assertThat(borrower.lent(7, 0, Duration.ofMillis(10), LIMIT, START).refused())
                .isEmpty();
        Instant later = START.plus(PATIENCE);
        borrower.due(8, LIMIT, later);
        assertThat(borrower.lent(8, 0, Duration.ofMillis(10), LIMIT, later).refused())
                .containsExactly(1L);
    }
}
