package org.dragonflymux.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConcurrencyWindowTest {

    private static final Duration USUAL = Duration.ofMillis(4);

    private final ConcurrencyWindow window = ConcurrencyWindow.cold(3);

    private void answer(Duration elapsed, int times) {
        for (int i = 0; i < times; i++) {
            window.answered(elapsed);
        }
    }

    @Test
    void givesAColdTargetOneRequestAtATime() {
        assertThat(window.size()).isEqualTo(1);
    }

    @Test
    void growsWithAnswersUpToTheSlots() {
        answer(USUAL, 8);
        assertThat(window.size()).isEqualTo(2);
        answer(USUAL, 100);
        assertThat(window.size()).isEqualTo(3);
    }

    @Test
    void startsAgainWhenTheTargetWasRestarted() {
        answer(USUAL, 100);
        window.restart();
        assertThat(window.size()).isEqualTo(1);
    }

    @Nested
    class AStraggler {

        @Test
        void isNoticedWithinFourAnswers() {
            answer(USUAL, 100);
            answer(USUAL.multipliedBy(10), 4);
            assertThat(window.straggling()).isTrue();
            assertThat(window.size()).isEqualTo(1);
        }

        @Test
        void isTrustedAgainAfterQuickAnswers() {
            answer(USUAL, 100);
            answer(USUAL.multipliedBy(10), 8);
            answer(USUAL, 40);
            assertThat(window.straggling()).isFalse();
            assertThat(window.size()).isEqualTo(3);
        }
    }

    @Test
    void oneAnswerHeldUpForSecondsHardlyMovesTheMean() {
        answer(USUAL, 100);
        window.answered(Duration.ofSeconds(10));
        assertThat(window.meanTime()).isLessThan(USUAL.multipliedBy(2));
    }
}
