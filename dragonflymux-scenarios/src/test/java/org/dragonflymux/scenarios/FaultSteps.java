package org.dragonflymux.scenarios;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.document.DomainIntent;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.document.TargetIntent;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Steps that set up a fleet, inject and remove faults, and act as operators. */
public final class FaultSteps {

    private static final ServiceName SERVICE = ServiceName.of("svc");

    private final World world;

    /** Called by Cucumber for each scenario. */
    public FaultSteps(World world) {
        this.world = world;
    }

    @Given("credentials are trusted for {int} seconds without updates")
    public void credentialTrust(int seconds) {
        world.setCredentialTrust(Duration.ofSeconds(seconds));
    }

    @Given("hosts may serve on pledges for {int} seconds")
    public void continuity(int seconds) {
        world.setContinuity(Duration.ofSeconds(seconds));
    }

    @Given("the service's home domain is {word}")
    public void home(String domain) {
        world.setHome(domain);
    }

    @Given("a fleet of {int} domains with {int} hosts and {int} targets each, seed {long}")
    public void fleet(int domains, int hosts, int targets, long seed) {
        world.start(seed, domains, hosts, targets, Fencing.CHECKED);
    }

    @Given("a fleet of {int} domains with {int} hosts and {int} targets each that check {word}, seed {long}")
    public void fleetChecking(int domains, int hosts, int targets, String fencing, long seed) {
        world.start(seed, domains, hosts, targets, Fencing.valueOf(fencing.toUpperCase(java.util.Locale.ROOT)));
    }

    @When("callers send requests for {int} seconds")
    public void callersSend(int seconds) {
        world.load.run(Duration.ofSeconds(seconds), World.REQUESTS_PER_SECOND);
    }

    @When("{int} seconds pass")
    public void secondsPass(int seconds) {
        world.fleet.advance(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void millisecondsPass(int millis) {
        world.fleet.advance(Duration.ofMillis(millis));
    }

    private void observeFromNow() {
        world.observedFrom = world.fleet.now();
    }

    @When("host {word} is killed")
    public void kill(String host) {
        observeFromNow();
        String name = hostName(host);
        world.fleet.kill(name);
        sendToOthers(name);
    }

    // The platform's load balancer sends requests to live hosts only.
    private void sendToOthers(String name) {
        List<String> others = world.fleet.hostNames().stream()
                .filter(other -> !other.equals(name))
                .toList();
        world.load.useHosts(others);
    }

    private String hostName(String host) {
        return switch (host) {
            case "assigner" -> world.fleet.assigner().orElseThrow();
            case "standby" -> world.fleet.standby().orElseThrow();
            case "dispatcher" -> world.fleet.dispatcher("ta1").orElseThrow();
            default -> host;
        };
    }

    @When("host {word} is paused")
    public void pause(String host) {
        observeFromNow();
        String name = hostName(host);
        world.fleet.pause(name);
        pausedHost = name;
        sendToOthers(name);
    }

    private String pausedHost;

    @When("the paused host resumes")
    public void resume() {
        world.fleet.resume(pausedHost);
    }

    @When("host {word} shuts down gracefully")
    public void shutDown(String host) {
        observeFromNow();
        String name = hostName(host);
        world.fleet.shutDown(name);
        pausedHost = name;
        sendToOthers(name);
    }

    @When("host {word} is started in domain {word}")
    public void start(String host, String domain) {
        world.fleet.startHost(host, domain);
    }

    @When("all hosts are killed")
    public void killAll() {
        observeFromNow();
        world.fleet.hostNames().forEach(world.fleet::kill);
    }

    @When("target {word} is killed")
    public void killTarget(String target) {
        observeFromNow();
        world.fleet.killTarget(target);
    }

    @When("target {word} is restarted")
    public void restartTarget(String target) {
        world.fleet.restartTarget(target);
    }

    @When("target {word} freezes")
    public void freezeTarget(String target) {
        observeFromNow();
        world.fleet.freezeTarget(target);
    }

    @When("target {word} thaws")
    public void thawTarget(String target) {
        world.fleet.thawTarget(target);
    }

    @When("target {word} asks not to be sent new requests")
    public void targetLeaves(String target) {
        observeFromNow();
        world.fleet.leaveTarget(target);
    }

    @When("open connections to target {word} stop responding")
    public void silenceConnections(String target) {
        observeFromNow();
        world.fleet.silenceConnections(target);
    }

    @When("target {word} becomes {int} times slower")
    public void slowDownTarget(String target, int factor) {
        observeFromNow();
        world.fleet.slowDownTarget(target, factor);
    }

    @When("requests with {string} in their path crash targets")
    public void crashOnPath(String path) {
        world.fleet.crashOnPath(path);
    }

    @When("the store goes down")
    public void storeDown() {
        observeFromNow();
        world.fleet.setStoreDown(true);
    }

    @When("the store recovers")
    public void storeRecovers() {
        world.fleet.setStoreDown(false);
    }

    @When("the store's replies are lost although its writes take effect")
    public void loseAnswers() {
        observeFromNow();
        world.fleet.setStoreLosesAnswers(true);
    }

    @When("the store's replies arrive again")
    public void deliverAnswers() {
        world.fleet.setStoreLosesAnswers(false);
    }

    @When("the store takes {int} milliseconds for each call")
    public void slowStore(int millis) {
        observeFromNow();
        world.fleet.setStoreDelay(Duration.ofMillis(millis));
    }

    @When("domain {word} is isolated from the store")
    public void isolateFromStore(String domain) {
        observeFromNow();
        world.fleet.setIsolatedFromStore(domain, true);
    }

    @When("domain {word} is isolated from its peers")
    public void isolateFromPeers(String domain) {
        observeFromNow();
        world.fleet.setIsolatedFromPeers(domain, true);
    }

    @When("domain {word} is reconnected")
    public void reconnect(String domain) {
        world.fleet.setIsolatedFromPeers(domain, false);
        world.fleet.setIsolatedFromStore(domain, false);
    }

    @When("domain {word} fails")
    public void failDomain(String domain) {
        observeFromNow();
        List<String> hosts = world.fleet.hostNames();
        hosts.stream()
                .filter(host -> world.fleet.domainOfHost(host).equals(domain))
                .forEach(world.fleet::kill);
        world.fleet.targetNames().stream()
                .filter(target -> world.fleet.domainOfTarget(target).equals(domain))
                .forEach(world.fleet::killTarget);
        world.load.useHosts(world.fleet.hostNames());
    }

    @When("callers use only hosts of domain {word}")
    public void useOnlyDomain(String domain) {
        world.load.useHosts(world.fleet.hostNames().stream()
                .filter(host -> world.fleet.domainOfHost(host).equals(domain))
                .toList());
    }

    @When("callers use only hosts outside domain {word}")
    public void useOutsideDomain(String domain) {
        world.load.useHosts(world.fleet.hostNames().stream()
                .filter(host -> !world.fleet.domainOfHost(host).equals(domain))
                .toList());
    }

    @When("an operator takes domain {word} out of service")
    public void takeOutOfService(String domain) {
        observeFromNow();
        world.fleet.writeDocument(new DomainIntent(FailureDomain.of(domain), true));
    }

    @When("an operator returns domain {word} to service")
    public void returnToService(String domain) {
        world.fleet.writeDocument(new DomainIntent(FailureDomain.of(domain), false));
    }

    @When("an operator drains target {word}")
    public void drainTarget(String target) {
        observeFromNow();
        world.fleet.writeDocument(new TargetIntent(SERVICE, TargetId.of(target), true));
    }

    @When("an operator moves key {word} to target {word}")
    public void moveKey(String key, String target) {
        world.fleet.writeDocument(new KeyPin(SERVICE, KeyHash.hex(KeyHash.of(key)), TargetId.of(target)));
    }

    @When("an operator revokes the credentials of {word}")
    public void revokeCredentials(String customer) {
        observeFromNow();
        world.fleet.revokeCredentials(customer);
    }

    @When("an operator changes the service's document")
    public void changeDocument() {
        observeFromNow();
        world.fleet.writeDocument(world.document);
    }
}
