package org.dragonflymux.scenarios;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scripted scenarios of the feature files with Cucumber. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = "cucumber.glue", value = "org.dragonflymux.scenarios")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest {}
