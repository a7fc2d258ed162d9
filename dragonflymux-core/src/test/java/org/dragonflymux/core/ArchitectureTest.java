package org.dragonflymux.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;

/** Checks that the core is deterministic: no I/O, no threads, no clock and no random source of its own. */
@AnalyzeClasses(packages = "org.dragonflymux", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    private static final String CORE = "org.dragonflymux.core..";

    @ArchTest
    static final ArchRule NO_IO = noClasses()
            .that()
            .resideInAPackage(CORE)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "ratpack..", "io.netty..");

    @ArchTest
    static final ArchRule NO_THREADS = noClasses()
            .that()
            .resideInAPackage(CORE)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.util.concurrent..")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule NO_CLOCK = noClasses()
            .that()
            .resideInAPackage(CORE)
            .should()
            .callMethod(Instant.class, "now")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Clock.class);

    @ArchTest
    static final ArchRule NO_OWN_RANDOM_SOURCE = noClasses()
            .that()
            .resideInAPackage(CORE)
            .should()
            .dependOnClassesThat()
            .areAssignableTo(Random.class)
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule COMPONENTS_DO_NOT_DEPEND_ON_THE_HOST_PACKAGE = noClasses()
            .that()
            .resideInAPackage(CORE)
            .and()
            .resideOutsideOfPackage("org.dragonflymux.core.host..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.dragonflymux.core.host..");
}
