package org.dragonflymux.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.dragonflymux.core.name.CustomerName;

/**
 * A bounded queue that serves customers in proportion to their weights, by start-time fair queueing.
 *
 * <p>When it is full, a request is dropped from the customer with the most waiting requests relative to its weight, not
 * from the customer whose request arrives last.
 */
public final class FairQueue {

    private record Position(double start, long sequence) implements Comparable<Position> {
        @Override
        public int compareTo(Position other) {
            int byStart = Double.compare(start, other.start);
            return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
        }
    }

    private final int capacity;
    private final TreeMap<Position, QueuedRequest> order = new TreeMap<>();
    private final Map<CustomerName, Double> lastFinish = new HashMap<>();
    private final Map<CustomerName, Integer> lengths = new HashMap<>();
    private double virtualTime;
    private long sequence;

    private FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns an empty queue.
     *
     * @param capacity the maximum number of waiting requests
     */
    public static FairQueue withCapacity(int capacity) {
        return new FairQueue(capacity);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return order.size();
    }

    /** Returns the number of waiting requests that would be served before a new request of a customer. */
    public int countAhead(CustomerName customer) {
        double start = Math.max(virtualTime, lastFinish.getOrDefault(customer, 0.0));
        return order.headMap(new Position(start, Long.MAX_VALUE)).size();
    }

    /**
     * Adds a request.
     *
     * @return the request that was dropped, if the queue was full; this may be the added one
     */
    public Optional<QueuedRequest> add(QueuedRequest request) {
        CustomerName customer = request.request().customer();
        double start = Math.max(virtualTime, lastFinish.getOrDefault(customer, 0.0));
        lastFinish.put(customer, start + 1.0 / request.weight());
        order.put(new Position(start, sequence++), request);
        lengths.merge(customer, 1, Integer::sum);
        return order.size() > capacity ? Optional.of(dropFromLongest()) : Optional.empty();
    }

    private QueuedRequest dropFromLongest() {
        Position last = null;
        double longestBacklog = 0;
        for (Position position : order.descendingKeySet()) {
            QueuedRequest request = order.get(position);
            double backlog = (double) lengths.get(request.request().customer()) / request.weight();
            if (backlog > longestBacklog) {
                longestBacklog = backlog;
                last = position;
            }
        }
        QueuedRequest dropped = remove(last);
        double share = 1.0 / dropped.weight();
        lastFinish.computeIfPresent(dropped.request().customer(), (name, finish) -> finish - share);
        return dropped;
    }

    private QueuedRequest remove(Position position) {
        QueuedRequest removed = order.remove(position);
        CustomerName customer = removed.request().customer();
        lengths.computeIfPresent(customer, (name, length) -> length == 1 ? null : length - 1);
        return removed;
    }

    /** Removes and returns the first request that may start. */
    public Optional<QueuedRequest> poll(Predicate<QueuedRequest> mayStart) {
        for (Map.Entry<Position, QueuedRequest> entry : order.entrySet()) {
            if (mayStart.test(entry.getValue())) {
                virtualTime = Math.max(virtualTime, entry.getKey().start());
                QueuedRequest next = remove(entry.getKey());
                resetWhenEmpty();
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    private void resetWhenEmpty() {
        if (order.isEmpty()) {
            lastFinish.clear();
            virtualTime = 0;
        }
    }

    /** Removes and returns all requests that match. */
    public List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
        List<QueuedRequest> removed = new ArrayList<>();
        for (Position position : List.copyOf(order.keySet())) {
            if (condition.test(order.get(position))) {
                removed.add(remove(position));
            }
        }
        return removed;
    }
}
