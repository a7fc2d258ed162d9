package org.dragonflymux.core.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentCodecTest {

    private static final String SERVICE = """
            kind: service
            name: verifica
            partitions: 64
            targets:
              - {id: t1, domain: palermo, address: "127.0.0.1:1", slots: 3}
              - {id: t2, domain: palermo, address: "127.0.0.1:2", slots: 3}
            """;

    private static List<DocumentError> errors(String yaml) {
        return DocumentCodec.fromYaml(yaml).getLeft();
    }

    @Test
    void roundTripsThroughJsonAndYaml() {
        Document document = DocumentCodec.fromYaml(SERVICE).get();
        assertThat(DocumentCodec.fromJson(DocumentCodec.toJson(document)).get()).isEqualTo(document);
        assertThat(DocumentCodec.fromYaml(DocumentCodec.toYaml(document)).get()).isEqualTo(document);
    }

    @Nested
    class ReportsPathAndLine {

        @Test
        void ofAllErrorsAtOnce() {
            String yaml = SERVICE.replace("64", "99999").replace("127.0.0.1:2", "localhost:2");
            assertThat(errors(yaml))
                    .extracting(DocumentError::path, DocumentError::line)
                    .containsExactlyInAnyOrder(
                            org.assertj.core.groups.Tuple.tuple("/partitions", 3),
                            org.assertj.core.groups.Tuple.tuple("/targets/1/address", 6));
        }

        @Test
        void ofAnUnknownField() {
            assertThat(errors(SERVICE + "colour: red\n")).singleElement().satisfies(error -> {
                assertThat(error.path()).isEqualTo("/colour");
                assertThat(error.line()).isEqualTo(7);
            });
        }
    }

    @Nested
    class Rejects {

        @Test
        void twoTargetsWithTheSameName() {
            assertThat(errors(SERVICE.replace("t2", "t1")))
                    .extracting(DocumentError::path)
                    .contains("/targets/1/id");
        }

        @Test
        void aTargetOutsideTheHomeDomain() {
            assertThat(errors(SERVICE + "home: catania\n")).hasSize(2);
        }

        @Test
        void aBurstTooSmallToLendTokens() {
            assertThat(errors("kind: customer\nname: acme\nrate-per-second: 100\nburst: 2\n"))
                    .extracting(DocumentError::path)
                    .containsExactly("/burst");
        }

        @Test
        void kindsThatOnlyHostsMayWrite() {
            assertThat(errors("kind: host\nhost: h1\ndomain: a\npeer-address: x\nincarnation: 1\nleaving: false\n"))
                    .isNotEmpty();
        }

        @Test
        void garbageWithoutThrowing() {
            Random random = new Random(4);
            for (int i = 0; i < 500; i++) {
                StringBuilder text = new StringBuilder(SERVICE);
                for (int j = 0; j < 5; j++) {
                    text.setCharAt(random.nextInt(text.length()), (char) (32 + random.nextInt(95)));
                }
                assertThat(DocumentCodec.fromYaml(text.toString())).isNotNull();
            }
        }
    }
}
