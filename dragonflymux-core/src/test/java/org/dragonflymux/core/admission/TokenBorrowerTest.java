package org.dragonflymux.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenBorrowerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RateLimit LIMIT = new RateLimit(100, 50);
    private static final Duration MAX_WAIT = Duration.ofMillis(250);

    private final TokenBorrower borrower = TokenBorrower.withMaxWait(MAX_WAIT);

    @Test
    void requestsTokensOnceForAllWaitingRequests() {
        borrower.tryAdmit(1, START);
        borrower.tryAdmit(2, START);
        assertThat(borrower.nextRequest(7, LIMIT, START))
                .get()
                .extracting(TokenBorrower.LoanRequest::tokens)
                .isEqualTo(2);
        assertThat(borrower.nextRequest(8, LIMIT, START.plusMillis(10))).isEmpty();
    }

    @Nested
    class Tokens {

        @Test
        void admitRequestsInArrivalOrder() {
            borrower.tryAdmit(1, START);
            borrower.tryAdmit(2, START);
            borrower.nextRequest(7, LIMIT, START);
            var decision = borrower.applyLoan(7, 1, Duration.ofMillis(10), LIMIT, START.plusMillis(1));
            assertThat(decision.admitted()).containsExactly(1L);
            assertThat(decision.refused()).isEmpty();
        }

        @Test
        void ofAnExpiredLoanAreDiscarded() {
            borrower.tryAdmit(1, START);
            borrower.nextRequest(7, LIMIT, START);
            var decision = borrower.applyLoan(7, 1, Duration.ZERO, LIMIT, START.plus(LIMIT.loanDuration()));
            assertThat(decision.admitted()).isEmpty();
            assertThat(decision.refused()).isEmpty();
            assertThat(borrower.nextRequest(8, LIMIT, START.plus(LIMIT.loanDuration())))
                    .isPresent();
        }

        @Test
        void ofAnotherLoanAreIgnored() {
            borrower.tryAdmit(1, START);
            borrower.nextRequest(7, LIMIT, START);
            assertThat(borrower.applyLoan(6, 1, Duration.ZERO, LIMIT, START).admitted())
                    .isEmpty();
        }
    }

    @Test
    void refusesARequestOnlyAfterItsMaximumWait() {
        borrower.tryAdmit(1, START);
        borrower.nextRequest(7, LIMIT, START);
        assertThat(borrower.applyLoan(7, 0, Duration.ofMillis(10), LIMIT, START).refused())
                .isEmpty();
        Instant later = START.plus(MAX_WAIT);
        borrower.nextRequest(8, LIMIT, later);
        assertThat(borrower.applyLoan(8, 0, Duration.ofMillis(10), LIMIT, later).refused())
                .containsExactly(1L);
    }
}
