package org.dragonflymux.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.dragonflymux.runtime.settings.Setting;
import org.dragonflymux.runtime.settings.SettingError;
import org.dragonflymux.runtime.settings.Settings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsPageTest {

    private static final Path PAGE = Path.of("..", "docs", "operators", "settings.md");

    @Test
    void hasARowForEachSettingWithItsDefault() throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        for (Setting<?> setting : Entry.PROGRAM.settings()) {
            String defaultValue = setting.defaultText()
                    .map(text -> text.isEmpty() ? "empty" : text)
                    .orElse("required");
            String rowStart = "| `--%s` | `%s` | %s |".formatted(setting.flag(), setting.variable(), defaultValue);
            assertThat(lines).anyMatch(line -> line.startsWith(rowStart));
        }
    }

    @Nested
    class InvalidSettings {

        private static Either<List<SettingError>, Settings> read(Map<String, String> environment, String... arguments) {
            return Entry.PROGRAM.read(arguments, environment);
        }

        @Test
        void areAllReportedTogether() {
            List<SettingError> errors = read(Map.of("DRAGONFLY_THREADS", "many"), "--listen", "localhost:1")
                    .getLeft();
            assertThat(errors).extracting(SettingError::source).contains("DRAGONFLY_THREADS", "--listen");
            assertThat(errors).extracting(SettingError::actual).contains("many", "localhost:1");
            assertThat(errors).hasSize(8);
        }

        @Test
        void includeUnknownFlags() {
            assertThat(read(Map.of(), "--colour", "red").isLeft()).isTrue();
        }
    }
}
