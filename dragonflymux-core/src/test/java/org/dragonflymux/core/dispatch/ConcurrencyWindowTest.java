package org.dragonflymux.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConcurrencyWindowTest {

    private static final Duration BASELINE = Duration.ofMillis(4);

    private final ConcurrencyWindow window = ConcurrencyWindow.cold(3);

    private void recordAnswers(Duration elapsed, int times) {
        for (int i = 0; i < times; i++) {
            window.recordAnswer(elapsed);
        }
    }

    @Test
    void allowsAColdTargetOneRequestAtATime() {
        assertThat(window.size()).isEqualTo(1);
    }

    @Test
    void growsWithAnswersUpToTheSlots() {
        recordAnswers(BASELINE, 8);
        assertThat(window.size()).isEqualTo(2);
        recordAnswers(BASELINE, 100);
        assertThat(window.size()).isEqualTo(3);
    }

    @Test
    void startsFromOneAfterAReset() {
        recordAnswers(BASELINE, 100);
        window.reset();
        assertThat(window.size()).isEqualTo(1);
    }

    @Nested
    class AStraggler {

        @Test
        void isDetectedWithinFourAnswers() {
            recordAnswers(BASELINE, 100);
            recordAnswers(BASELINE.multipliedBy(10), 4);
            assertThat(window.straggling()).isTrue();
            assertThat(window.size()).isEqualTo(1);
        }

        @Test
        void recoversAfterFastAnswers() {
            recordAnswers(BASELINE, 100);
            recordAnswers(BASELINE.multipliedBy(10), 8);
            recordAnswers(BASELINE, 40);
            assertThat(window.straggling()).isFalse();
            assertThat(window.size()).isEqualTo(3);
        }
    }

    @Test
    void oneAnswerDelayedBySecondsBarelyChangesTheMean() {
        recordAnswers(BASELINE, 100);
        window.recordAnswer(Duration.ofSeconds(10));
        assertThat(window.meanTime()).isLessThan(BASELINE.multipliedBy(2));
    }
}
