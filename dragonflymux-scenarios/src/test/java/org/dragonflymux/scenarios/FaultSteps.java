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

/** Steps that set a fleet up, break it and mend it. */
public final class FaultSteps {

    private static final ServiceName SERVICE = ServiceName.of("svc");

    private final World world;

    /** Made by the scenario runner. */
    public FaultSteps(World world) {
        this.world = world;
    }

    @Given("credentials are trusted for {int} seconds without news")
    public void trust(int seconds) {
        world.trust(Duration.ofSeconds(seconds));
    }

    @Given("pledges may stand in for the store for {int} seconds")
    public void continuity(int seconds) {
        world.continuity(Duration.ofSeconds(seconds));
    }

    @Given("the service's home is domain {word}")
    public void home(String domain) {
        world.home(domain);
    }

    @Given("a fleet of {int} domains with {int} hosts and {int} targets each, seed {long}")
    public void fleet(int domains, int hosts, int targets, long seed) {
        world.start(seed, domains, hosts, targets, Fencing.CHECKED);
    }

    @Given("a fleet of {int} domains with {int} hosts and {int} targets each that check {word}, seed {long}")
    public void fleetChecking(int domains, int hosts, int targets, String fencing, long seed) {
        world.start(seed, domains, hosts, targets, Fencing.valueOf(fencing.toUpperCase(java.util.Locale.ROOT)));
    }

    @When("callers ask for {int} seconds")
    public void callersAsk(int seconds) {
        world.load.run(Duration.ofSeconds(seconds), World.REQUESTS_PER_SECOND);
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        world.fleet.advance(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void passMillis(int millis) {
        world.fleet.advance(Duration.ofMillis(millis));
    }

    private void mark() {
        world.mark = world.fleet.now();
    }

    @When("host {word} is killed")
    public void kill(String host) {
        mark();
        String name = resolve(host);
        world.fleet.kill(name);
        withoutHost(name);
    }

    // The platform's balancer sends callers to live hosts only.
    private void withoutHost(String name) {
        List<String> others = world.fleet.hostNames().stream()
                .filter(other -> !other.equals(name))
                .toList();
        world.load.through(others);
    }

    private String resolve(String host) {
        return switch (host) {
            case "assigner" -> world.fleet.assigner().orElseThrow();
            case "standby" -> world.fleet.standby().orElseThrow();
            case "dispatcher" -> world.fleet.dispatcher("ta1").orElseThrow();
            default -> host;
        };
    }

    @When("host {word} is paused")
    public void pause(String host) {
        mark();
        String name = resolve(host);
        world.fleet.pause(name);
        paused = name;
        withoutHost(name);
    }

    private String paused;

    @When("the paused host goes on")
    public void resume() {
        world.fleet.resume(paused);
    }

    @When("host {word} shuts down gracefully")
    public void shutDown(String host) {
        mark();
        String name = resolve(host);
        world.fleet.shutDown(name);
        paused = name;
        withoutHost(name);
    }

    @When("host {word} is started in domain {word}")
    public void start(String host, String domain) {
        world.fleet.startHost(host, domain);
    }

    @When("all hosts are killed")
    public void killAll() {
        mark();
        world.fleet.hostNames().forEach(world.fleet::kill);
    }

    @When("target {word} is lost")
    public void loseTarget(String target) {
        mark();
        world.fleet.killTarget(target);
    }

    @When("target {word} returns cold")
    public void returnTarget(String target) {
        world.fleet.restartTarget(target);
    }

    @When("target {word} freezes")
    public void freeze(String target) {
        mark();
        world.fleet.freezeTarget(target);
    }

    @When("target {word} thaws")
    public void thaw(String target) {
        world.fleet.thawTarget(target);
    }

    @When("target {word} asks for no new work")
    public void leaves(String target) {
        mark();
        world.fleet.leaveTarget(target);
    }

    @When("open connections to target {word} go silent")
    public void silence(String target) {
        mark();
        world.fleet.silenceTarget(target);
    }

    @When("target {word} turns {int} times slower")
    public void slow(String target, int factor) {
        mark();
        world.fleet.slowTarget(target, factor);
    }

    @When("requests with {string} in their path crash targets")
    public void crashOn(String path) {
        world.fleet.crashOn(path);
    }

    @When("the store goes down")
    public void storeDown() {
        mark();
        world.fleet.storeDown(true);
    }

    @When("the store comes back")
    public void storeUp() {
        world.fleet.storeDown(false);
    }

    @When("the store's answers are lost after its writes took effect")
    public void loseAnswers() {
        mark();
        world.fleet.storeLosesAnswers(true);
    }

    @When("the store's answers arrive again")
    public void keepAnswers() {
        world.fleet.storeLosesAnswers(false);
    }

    @When("the store takes {int} milliseconds for each call")
    public void slowStore(int millis) {
        mark();
        world.fleet.storeDelay(Duration.ofMillis(millis));
    }

    @When("domain {word} is cut off from the store")
    public void cutFromStore(String domain) {
        mark();
        world.fleet.cutFromStore(domain, true);
    }

    @When("domain {word} is cut off from its peers")
    public void cutFromPeers(String domain) {
        mark();
        world.fleet.cutFromPeers(domain, true);
    }

    @When("domain {word} is joined again")
    public void join(String domain) {
        world.fleet.cutFromPeers(domain, false);
        world.fleet.cutFromStore(domain, false);
    }

    @When("domain {word} is lost")
    public void loseDomain(String domain) {
        mark();
        List<String> hosts = world.fleet.hostNames();
        hosts.stream()
                .filter(host -> world.fleet.domainOfHost(host).equals(domain))
                .forEach(world.fleet::kill);
        world.fleet.targetNames().stream()
                .filter(target -> world.fleet.domainOfTarget(target).equals(domain))
                .forEach(world.fleet::killTarget);
        world.load.through(world.fleet.hostNames());
    }

    @When("callers use only hosts of domain {word}")
    public void only(String domain) {
        world.load.through(world.fleet.hostNames().stream()
                .filter(host -> world.fleet.domainOfHost(host).equals(domain))
                .toList());
    }

    @When("callers use only hosts outside domain {word}")
    public void outside(String domain) {
        world.load.through(world.fleet.hostNames().stream()
                .filter(host -> !world.fleet.domainOfHost(host).equals(domain))
                .toList());
    }

    @When("an operator takes domain {word} out")
    public void takeOut(String domain) {
        mark();
        world.fleet.apply(new DomainIntent(FailureDomain.of(domain), true));
    }

    @When("an operator brings domain {word} back")
    public void bringBack(String domain) {
        world.fleet.apply(new DomainIntent(FailureDomain.of(domain), false));
    }

    @When("an operator drains target {word}")
    public void drain(String target) {
        mark();
        world.fleet.apply(new TargetIntent(SERVICE, TargetId.of(target), true));
    }

    @When("an operator moves key {word} to target {word}")
    public void move(String key, String target) {
        world.fleet.apply(new KeyPin(SERVICE, KeyHash.hex(KeyHash.of(key)), TargetId.of(target)));
    }

    @When("an operator withdraws the credentials of {word}")
    public void withdraw(String customer) {
        mark();
        world.fleet.withdraw(customer);
    }

    @When("an operator changes the service's document")
    public void change() {
        mark();
        world.fleet.apply(world.document);
    }
}
