package org.dragonflymux.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the Alloy specification of the ownership protocol by bounded model checking: the protocol is safe with all
 * guards, and unsafe if any single guard is disabled.
 */
class SpecificationTest {

    private static final String ALL_GUARDS = "allGuards";

    private static CompModule specification() throws URISyntaxException {
        Path file = Path.of(SpecificationTest.class
                .getResource("/specification/ownership.als")
                .toURI());
        return CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
    }

    private static boolean violationFound(CompModule module, Command command) {
        return TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options())
                .satisfiable();
    }

    @TestFactory
    Stream<DynamicTest> commands() throws URISyntaxException {
        CompModule module = specification();
        assertThat(module.getAllCommands()).hasSize(11);
        return module.getAllCommands().stream()
                .map(command -> DynamicTest.dynamicTest(command.label, () -> {
                    boolean safe = command.label.equals(ALL_GUARDS);
                    assertThat(violationFound(module, command)).isEqualTo(!safe);
                }));
    }
}
