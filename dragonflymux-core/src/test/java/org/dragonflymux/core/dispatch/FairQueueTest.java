package org.dragonflymux.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private long lastId;

    private QueuedRequest request(String customer, int weight) {
        ServiceRequest body = new ServiceRequest(
                ServiceName.of("s"), CustomerName.of(customer), "k", "GET", "/", List.of(), new byte[0], null);
        return new QueuedRequest(++lastId, body, 0, weight, true, 0, false, Instant.EPOCH);
    }

    private static Map<String, Integer> served(FairQueue queue, int count) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String customer =
                    queue.poll(_ -> true).orElseThrow().request().customer().value();
            served.merge(customer, 1, Integer::sum);
        }
        return served;
    }

    @Nested
    class Serves {

        @Test
        void customersByWeightRegardlessOfTheirRequestRate() {
            FairQueue queue = FairQueue.withCapacity(1000);
            for (int i = 0; i < 400; i++) {
                queue.add(request("greedy", 1));
            }
            for (int i = 0; i < 60; i++) {
                queue.add(request("heavy", 3));
                queue.add(request("light", 1));
            }
            Map<String, Integer> served = served(queue, 50);
            assertThat(served.get("heavy")).isBetween(29, 31);
            assertThat(served.get("light")).isBetween(9, 11);
            assertThat(served.get("greedy")).isBetween(9, 11);
        }

        @Test
        void aNewCustomerBeforeAnExistingBacklog() {
            FairQueue queue = FairQueue.withCapacity(1000);
            for (int i = 0; i < 100; i++) {
                queue.add(request("greedy", 1));
            }
            served(queue, 20);
            queue.add(request("late", 1));
            assertThat(served(queue, 2)).containsKey("late");
        }
    }

    @Nested
    class WhenFull {

        @Test
        void dropsFromTheLongestBacklog() {
            FairQueue queue = FairQueue.withCapacity(10);
            for (int i = 0; i < 10; i++) {
                queue.add(request("greedy", 1));
            }
            Optional<QueuedRequest> dropped = queue.add(request("small", 1));
            assertThat(dropped.orElseThrow().request().customer().value()).isEqualTo("greedy");
            assertThat(queue.size()).isEqualTo(10);
        }

        @Test
        void aDroppedRequestIsNeverServedAndNoRequestIsLost() {
            Random random = new Random(3);
            FairQueue queue = FairQueue.withCapacity(16);
            Set<Long> inside = new HashSet<>();
            for (int i = 0; i < 5000; i++) {
                QueuedRequest added = request("c" + random.nextInt(5), 1 + random.nextInt(3));
                inside.add(added.id());
                queue.add(added)
                        .ifPresent(dropped ->
                                assertThat(inside.remove(dropped.id())).isTrue());
                if (random.nextInt(3) == 0) {
                    QueuedRequest next = queue.poll(_ -> true).orElseThrow();
                    assertThat(inside.remove(next.id())).isTrue();
                }
                assertThat(queue.size()).isEqualTo(inside.size());
            }
            queue.removeIf(_ -> true)
                    .forEach(left -> assertThat(inside.remove(left.id())).isTrue());
            assertThat(inside).isEmpty();
        }
    }
}
