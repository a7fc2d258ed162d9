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
import org.dragonflymux.scenarios.bench.Fleet;

/** Steps of callers, and what must be seen. */
public final class CallerSteps {

    private static final Duration QUICKLY = Duration.ofMillis(1000);
    private static final Duration SETTLED = Duration.ofMillis(1500);

    private final World world;

    /** Made by the scenario runner. */
    public CallerSteps(World world) {
        this.world = world;
    }

    /** Holds in every scenario, whatever it is about. */
    @After
    public void nothingForbiddenHappened() {
        assertThat(world.fleet.checkers().breaches()).isEmpty();
    }

    @Then("every key is served again within {int} seconds")
    public void servedAgain(int seconds) {
        Instant from = world.mark.plusSeconds(seconds);
        Instant to = world.fleet.now().minus(SETTLED);
        assertThat(to).isAfter(from);
        assertThat(world.load.unservedBetween(from, to, QUICKLY)).isEmpty();
    }

    @Then("every request was served at all times")
    public void servedAlways() {
        Instant to = world.fleet.now().minus(SETTLED);
        assertThat(world.load.unservedBetween(world.mark, to, Duration.ofSeconds(4)))
                .isEmpty();
    }

    @Then("every request of the last {int} seconds was answered within {int} milliseconds")
    public void answeredWithin(int seconds, int millis) {
        Instant to = world.fleet.now().minusMillis(millis);
        Instant from = world.fleet.now().minusSeconds(seconds);
        assertThat(world.load.unservedBetween(from, to, Duration.ofMillis(millis)))
                .isEmpty();
    }

    @Then("no request is served any more after {int} seconds")
    public void servedNoMore(int seconds) {
        Instant from = world.mark.plusSeconds(seconds);
        assertThat(from).isBefore(world.fleet.now().minus(SETTLED));
        assertThat(world.load.servedSince(from)).isZero();
    }

    @Then("target {word} gets no new work after {int} seconds")
    public void noNewWork(String target, int seconds) {
        Instant from = world.mark.plusSeconds(seconds);
        assertThat(from).isBefore(world.fleet.now());
        assertThat(world.fleet.checkers().startsSince(target, from)).isZero();
    }

    @Then("target {word} works again")
    public void works(String target) {
        assertThat(world.fleet.checkers().startsSince(target, world.mark)).isPositive();
    }

    @Then("key {word} is owned by target {word}")
    public void owned(String key, String target) {
        assertThat(world.fleet.owner(key)).contains(target);
    }

    @Then("the shut-down host has ended")
    public void ended() {
        assertThat(world.fleet.hostNames()).hasSizeLessThan(6);
    }

    @Then("another host is assigner")
    public void anotherAssigner() {
        assertThat(world.fleet.hostNames()).contains(world.fleet.assigner().orElseThrow());
    }

    @Then("the document's change is in force everywhere within {int} seconds")
    public void inForce(int seconds) {
        world.fleet.advance(Duration.between(world.fleet.now(), world.mark.plusSeconds(seconds)));
        long newest = world.fleet.newestRevision(world.document);
        assertThat(world.fleet.hostNames())
                .allSatisfy(host ->
                        assertThat(world.fleet.revisionAt(host, world.document)).isEqualTo(newest));
    }

    @When("{word} sends a {word} for key {word} through host {word}")
    public void send(String customer, String method, String key, String host) {
        String idempotencyKey = "GET".equals(method) ? null : world.fleet.newIdempotencyKey();
        lastIdempotencyKey = idempotencyKey;
        world.lastCall = world.fleet.request(host, customer, method, key, idempotencyKey);
    }

    private String lastIdempotencyKey;

    @When("the same request is sent again through host {word}")
    public void again(String host) {
        world.lastCall = world.fleet.request(host, "acme", "POST", "order", lastIdempotencyKey, "/order/repeat");
    }

    @When("acme orders through host {word}")
    public void order(String host) {
        lastIdempotencyKey = world.fleet.newIdempotencyKey();
        world.lastCall = world.fleet.request(host, "acme", "POST", "order", lastIdempotencyKey, "/order/repeat");
    }

    @When("{word} sends {int} requests at once through each host")
    public void burst(String customer, int count) {
        for (String host : world.fleet.hostNames()) {
            for (int i = 0; i < count; i++) {
                world.calls.add(world.fleet.request(host, customer, "GET", "k" + i, null));
            }
        }
    }

    @When("{word} sends {int} requests a second for {int} seconds through all hosts")
    public void steady(String customer, int perSecond, int seconds) {
        List<String> hosts = world.fleet.hostNames();
        for (int i = 0; i < perSecond * seconds; i++) {
            world.calls.add(world.fleet.request(hosts.get(i % hosts.size()), customer, "GET", "k" + i % 50, null));
            world.fleet.advance(Duration.ofNanos(1_000_000_000L / perSecond));
        }
    }

    @When("customer {word} has rate {int} and burst {int}")
    public void customer(String name, int rate, int burst) {
        world.fleet.customer(name, rate, burst, 1, java.util.Map.of());
        world.fleet.advance(Duration.ofSeconds(2));
    }

    @Then("at most {int} requests of {word} ran within any {int} seconds")
    public void atMost(int most, String customer, int seconds) {
        assertThat(world.fleet.checkers().mostWithin(customer, Duration.ofSeconds(seconds)))
                .isPositive()
                .isLessThanOrEqualTo(most);
    }

    @Then("at least {int} of these requests succeeded")
    public void atLeast(int least) {
        assertThat(world.calls.stream().filter(Fleet.Call::succeeded).count()).isGreaterThanOrEqualTo(least);
    }

    @Then("all of these requests succeeded")
    public void allSucceeded() {
        assertThat(world.calls).isNotEmpty().allMatch(Fleet.Call::succeeded);
    }

    @Then("the request succeeds")
    public void succeeds() {
        assertThat(world.lastCall.outcome()).get().isInstanceOf(Outcome.Answered.class);
    }

    @Then("the outcome is unknown")
    public void unknown() {
        assertThat(world.lastCall.outcome()).get().isInstanceOf(Outcome.Unknown.class);
    }

    @Then("the request is refused as {word}")
    public void refused(String reason) {
        RefusalReason expected = RefusalReason.valueOf(reason.toUpperCase(java.util.Locale.ROOT));
        assertThat(world.lastCall.outcome())
                .get()
                .isInstanceOfSatisfying(
                        Outcome.Refused.class,
                        refused -> assertThat(refused.reason()).isEqualTo(expected));
    }

    @When("acme sends the deadly request through host {word}")
    public void deadly(String host) {
        world.lastCall = world.fleet.request(host, "acme", "GET", "k1", null, "/k1/deadly");
    }

    @Then("at most {int} targets crashed")
    public void crashed(int most) {
        assertThat(world.fleet.checkers().crashes()).isPositive().isLessThanOrEqualTo(most);
    }
}
