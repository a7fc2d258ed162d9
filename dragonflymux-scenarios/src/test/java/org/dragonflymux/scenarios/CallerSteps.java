package org.dragonflymux.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.scenarios.simulation.Fleet;

/** Steps of callers, and the assertions. */
public final class CallerSteps {

    private static final Duration RESPONSE_TIME_LIMIT = Duration.ofMillis(1000);
    /** The final part of a scenario, whose requests may not have an outcome yet. */
    private static final Duration IN_FLIGHT_PERIOD = Duration.ofMillis(1500);

    private final World world;

    /** Called by Cucumber for each scenario. */
    public CallerSteps(World world) {
        this.world = world;
    }

    /** Checks the protocol's invariants after every scenario. */
    @After
    public void noInvariantViolated() {
        assertThat(world.fleet.invariantChecker().violations()).isEmpty();
    }

    @Then("every key is served again within {int} seconds")
    public void servedAgain(int seconds) {
        Instant from = world.observedFrom.plusSeconds(seconds);
        Instant to = world.fleet.now().minus(IN_FLIGHT_PERIOD);
        assertThat(to).isAfter(from);
        assertThat(world.load.unservedBetween(from, to, RESPONSE_TIME_LIMIT)).isEmpty();
    }

    @Then("every request was served")
    public void allServed() {
        Instant to = world.fleet.now().minus(IN_FLIGHT_PERIOD);
        assertThat(world.load.unservedBetween(world.observedFrom, to, Duration.ofSeconds(4)))
                .isEmpty();
    }

    @Then("every request of the last {int} seconds was answered within {int} milliseconds")
    public void answeredWithin(int seconds, int millis) {
        Instant to = world.fleet.now().minusMillis(millis);
        Instant from = world.fleet.now().minusSeconds(seconds);
        assertThat(world.load.unservedBetween(from, to, Duration.ofMillis(millis)))
                .isEmpty();
    }

    @Then("no request is served after {int} seconds")
    public void noneServed(int seconds) {
        Instant from = world.observedFrom.plusSeconds(seconds);
        assertThat(from).isBefore(world.fleet.now().minus(IN_FLIGHT_PERIOD));
        assertThat(world.load.successRatioSince(from)).isZero();
    }

    @Then("target {word} starts no requests after {int} seconds")
    public void startsNoRequests(String target, int seconds) {
        Instant from = world.observedFrom.plusSeconds(seconds);
        assertThat(from).isBefore(world.fleet.now());
        assertThat(world.fleet.invariantChecker().startedSince(target, from)).isZero();
    }

    @Then("target {word} starts requests again")
    public void startsRequests(String target) {
        assertThat(world.fleet.invariantChecker().startedSince(target, world.observedFrom))
                .isPositive();
    }

    @Then("key {word} is owned by target {word}")
    public void ownedBy(String key, String target) {
        assertThat(world.fleet.owner(key)).contains(target);
    }

    @Then("the host that was shut down has exited")
    public void hostExited() {
        assertThat(world.fleet.hostNames()).hasSizeLessThan(6);
    }

    @Then("another host is the assigner")
    public void anotherAssigner() {
        assertThat(world.fleet.hostNames()).contains(world.fleet.assigner().orElseThrow());
    }

    @Then("every host has the changed document within {int} seconds")
    public void documentChanged(int seconds) {
        world.fleet.advance(Duration.between(world.fleet.now(), world.observedFrom.plusSeconds(seconds)));
        long newest = world.fleet.newestRevision(world.document);
        assertThat(world.fleet.hostNames())
                .allSatisfy(host ->
                        assertThat(world.fleet.revisionAt(host, world.document)).isEqualTo(newest));
    }

    @When("{word} sends a {word} request for key {word} through host {word}")
    public void send(String customer, String method, String key, String host) {
        String idempotencyKey = "GET".equals(method) ? null : world.fleet.newIdempotencyKey();
        lastIdempotencyKey = idempotencyKey;
        world.lastCall = world.fleet.request(host, customer, method, key, idempotencyKey);
    }

    private String lastIdempotencyKey;

    @When("the same request is sent again through host {word}")
    public void repeat(String host) {
        world.lastCall = world.fleet.request(host, "acme", "POST", "order", lastIdempotencyKey, "/order/repeat");
    }

    @When("acme sends an order through host {word}")
    public void sendOrder(String host) {
        lastIdempotencyKey = world.fleet.newIdempotencyKey();
        world.lastCall = world.fleet.request(host, "acme", "POST", "order", lastIdempotencyKey, "/order/repeat");
    }

    @When("{word} sends {int} requests at once through each host")
    public void sendBurst(String customer, int count) {
        for (String host : world.fleet.hostNames()) {
            for (int i = 0; i < count; i++) {
                world.calls.add(world.fleet.request(host, customer, "GET", "k" + i, null));
            }
        }
    }

    @When("{word} sends {int} requests per second for {int} seconds through all hosts")
    public void sendSteadily(String customer, int perSecond, int seconds) {
        List<String> hosts = world.fleet.hostNames();
        for (int i = 0; i < perSecond * seconds; i++) {
            world.calls.add(world.fleet.request(hosts.get(i % hosts.size()), customer, "GET", "k" + i % 50, null));
            world.fleet.advance(Duration.ofNanos(1_000_000_000L / perSecond));
        }
    }

    @When("customer {word} has rate {int} and burst {int}")
    public void writeCustomer(String name, int rate, int burst) {
        world.fleet.writeCustomer(name, rate, burst, 1, java.util.Map.of());
        world.fleet.advance(Duration.ofSeconds(2));
    }

    @Then("at most {int} requests of {word} were admitted within any {int} seconds")
    public void atMostAdmitted(int maximum, String customer, int seconds) {
        assertThat(world.fleet.invariantChecker().maxAdmittedWithin(customer, Duration.ofSeconds(seconds)))
                .isPositive()
                .isLessThanOrEqualTo(maximum);
    }

    @Then("at least {int} of these requests succeeded")
    public void atLeastSucceeded(int minimum) {
        assertThat(world.calls.stream().filter(Fleet.Call::succeeded).count()).isGreaterThanOrEqualTo(minimum);
    }

    @Then("all of these requests succeeded")
    public void allSucceeded() {
        assertThat(world.calls).isNotEmpty().allMatch(Fleet.Call::succeeded);
    }

    @Then("the request succeeds")
    public void requestSucceeds() {
        assertThat(world.lastCall.outcome()).get().isInstanceOf(Outcome.Answered.class);
    }

    @Then("the outcome is unknown")
    public void outcomeUnknown() {
        assertThat(world.lastCall.outcome()).get().isInstanceOf(Outcome.Unknown.class);
    }

    @Then("the request is refused as {word}")
    public void requestRefused(String reason) {
        RefusalReason expected = RefusalReason.valueOf(reason.toUpperCase(java.util.Locale.ROOT));
        assertThat(world.lastCall.outcome())
                .get()
                .isInstanceOfSatisfying(
                        Outcome.Refused.class,
                        refused -> assertThat(refused.reason()).isEqualTo(expected));
    }

    @When("acme sends the poison request through host {word}")
    public void sendPoisonRequest(String host) {
        world.lastCall = world.fleet.request(host, "acme", "GET", "k1", null, "/k1/poison");
    }

    @Then("at most {int} targets crashed")
    public void atMostCrashed(int maximum) {
        assertThat(world.fleet.invariantChecker().crashes()).isPositive().isLessThanOrEqualTo(maximum);
    }
}
