import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: items with revisions, watches, transactions and leases, by PROTOCOL.md. */
final class Store {

    private static final double MIN_LEASE_SECONDS = 1;
    private static final Answer CUT = new Answer(0, "");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;
    private int cutsDue;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private record Lease(double seconds, long endsAtNanos) {}

    /** Starts a store that listens on the address. */
    static Store start(InetSocketAddress address) throws IOException {
        Store store = new Store();
        Listener.start(address, store::handle);
        Thread.ofVirtual().start(store::endLeases);
        return store;
    }

    /** Writes an item as the operator or a server does. */
    synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        remove(key, ++revision);
        notifyAll();
    }

    /** Returns whether an item with the prefix exists. */
    synchronized int count(String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    /** Cuts the next watch that waits: its connection ends without an answer. */
    synchronized void cutWatch() {
        cutsDue = 1;
        notifyAll();
    }

    private void put(String key, String value, long lease, long at) {
        long created = items.containsKey(key) ? items.get(key).created() : at;
        Item item = new Item(value, at, created, lease);
        items.put(key, item);
        events.add(new Event(key, at, item));
    }

    private void remove(String key, long at) {
        if (items.remove(key) != null) {
            events.add(new Event(key, at, null));
        }
    }

    private void endLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                endDueLeases();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void endDueLeases() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> now >= entry.getValue().endsAtNanos())
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> bound = items.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        if (!bound.isEmpty()) {
            long at = ++revision;
            bound.forEach(key -> remove(key, at));
            notifyAll();
        }
    }

    private boolean handle(Http.Message request, Socket connection) throws IOException, InterruptedException {
        String[] target = request.word(1).split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        Answer answer = answer(target[0], query, request.text());
        if (answer.equals(CUT)) {
            return false;
        }
        Http.write(
                connection.getOutputStream(),
                "HTTP/1.1 " + answer.status() + " Answer",
                List.of(new Http.Field("Content-Type", "application/json")),
                answer.body().getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private record Answer(int status, String body) {}

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) {
                result.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private Answer answer(String path, Map<String, String> query, String body) throws InterruptedException {
        if (path.equals(Names.STORE_CALL + "range")) {
            return range(query.getOrDefault("path-prefix", ""));
        }
        if (path.equals(Names.STORE_CALL + "watch")) {
            return watch(
                    query.getOrDefault("path-prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait-ms")));
        }
        if (path.equals(Names.STORE_CALL + "txn")) {
            return commit(Json.object(Json.parse(body)));
        }
        if (path.equals(Names.STORE_CALL + "lease")) {
            return obtainLease(((Number) Json.object(Json.parse(body)).get("ttl-s_time")).doubleValue());
        }
        if (path.startsWith(Names.STORE_CALL + "keep/")) {
            return renew(Long.parseLong(path.substring((Names.STORE_CALL + "keep/").length())));
        }
        if (path.startsWith(Names.STORE_CALL + "lease-end/")) {
            return end(Long.parseLong(path.substring((Names.STORE_CALL + "lease-end/").length())));
        }
        return new Answer(404, "{}");
    }

    private synchronized Answer range(String prefix) {
        List<String> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(json(key, item));
            }
        });
        return new Answer(
                200,
                "{\"items\":[" + String.join(",", found) + "],\"has-more\":false,\"store-revision\":" + revision + "}");
    }

    private static String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long endsAt = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    found.add(
                            event.item() == null
                                    ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
                                            + ",\"deleted\":true}"
                                    : json(event.key(), event.item()));
                }
            }
            long left = (endsAt - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return new Answer(
                        200, "{\"events\":[" + String.join(",", found) + "],\"store-revision\":" + revision + "}");
            }
            if (cutsDue > 0) {
                cutsDue--;
                return CUT;
            }
            wait(left);
        }
    }

    private synchronized Answer commit(Map<String, Object> call) {
        for (Object row : Json.list(call.get("expect"))) {
            Map<String, Object> expected = Json.object(row);
            Item present = items.get((String) expected.get("key"));
            long found = present == null ? 0 : present.revision();
            if (found != ((Number) expected.get("revision")).longValue()) {
                return new Answer(412, "{\"items\":[]}");
            }
        }
        List<Map<String, Object>> puts =
                Json.list(call.get("puts")).stream().map(Json::object).toList();
        for (Map<String, Object> put : puts) {
            long lease = ((Number) put.get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, "{}");
            }
        }
        long at = ++revision;
        puts.forEach(put ->
                put((String) put.get("key"), (String) put.get("value"), ((Number) put.get("lease")).longValue(), at));
        Json.list(call.get("remove")).forEach(key -> remove((String) key, at));
        notifyAll();
        return new Answer(200, "{\"revision\":" + at + "}");
    }

    private synchronized Answer obtainLease(double seconds) {
        double given = Math.max(MIN_LEASE_SECONDS, seconds);
        leases.put(++lastLease, lease(given));
        return new Answer(200, "{\"lease\":" + lastLease + ",\"ttl-s_time\":" + given + "}");
    }

    private static Lease lease(double seconds) {
        return new Lease(seconds, System.nanoTime() + (long) (seconds * 1e9));
    }

    private synchronized Answer renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Answer(404, "{}");
        }
        leases.put(id, lease(lease.seconds()));
        return new Answer(200, "{\"ttl-s_time\":" + lease.seconds() + "}");
    }

    private synchronized Answer end(long id) {
        if (!leases.containsKey(id)) {
            return new Answer(404, "{}");
        }
        endLease(id);
        return new Answer(200, "{}");
    }
}
