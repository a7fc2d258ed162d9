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
            String standard = setting.defaultText()
                    .map(text -> text.isEmpty() ? "empty" : text)
                    .orElse("required");
            String start = "| `--%s` | `%s` | %s |".formatted(setting.flag(), setting.variable(), standard);
            assertThat(lines).anyMatch(line -> line.startsWith(start));
        }
    }

    @Nested
    class WrongSettings {

        private static Either<List<SettingError>, Settings> read(Map<String, String> environment, String... arguments) {
            return Entry.PROGRAM.read(arguments, environment);
        }

        @Test
        void areAllNamedAtOnce() {
            List<SettingError> errors = read(Map.of("DRAGONFLY_THREADS", "many"), "--listen", "localhost:1")
                    .getLeft();
            assertThat(errors).extracting(SettingError::where).contains("DRAGONFLY_THREADS", "--listen");
            assertThat(errors).extracting(SettingError::given).contains("many", "localhost:1");
            assertThat(errors).hasSize(8);
        }

        @Test
        void includeUnknownFlags() {
            assertThat(read(Map.of(), "--colour", "red").isLeft()).isTrue();
        }
    }
}
