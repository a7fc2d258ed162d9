import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The platform's store. Each machine reaches it at a door of its own, which can be shut while the others are open. */
final class Store {

    private static final int MAX_PAGE = 500;

    /** How the store treats one machine. */
    enum Door {
        OPEN,
        /** The store answers nothing, and does nothing. */
        SILENT,
        /** The store answers 503, and does nothing. */
        BUSY
    }

    private record Lease(long nanos, long endsAt) {}

    private final ObjectMapper json = new ObjectMapper();
    private final NavigableMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, Door> doors = new HashMap<>();
    private long revision = 100;
    private long lastLease;
    private String lastConditionalWriter = "";

    /** Opens a door for a machine, and returns its address. */
    synchronized String open(String machine) throws IOException {
        doors.put(machine, Door.OPEN);
        Listener listener = Listener.start("127.0.0.1", 0, (in, out) -> serve(machine, in, out));
        return "127.0.0.1:" + listener.port();
    }

    synchronized void set(String machine, Door door) {
        doors.put(machine, door);
        notifyAll();
    }

    private synchronized Door door(String machine) {
        return doors.get(machine);
    }

    /** Returns the machine that last wrote under a condition, other than for a claim that ends with its lease. */
    synchronized String lastConditionalWriter() {
        return lastConditionalWriter;
    }

    /** Writes a value without a lease, as the operator and the servers do. */
    synchronized void write(String key, String value) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Removes a key, as a server or the platform does. */
    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            revision++;
            delete(key);
            notifyAll();
        }
    }

    private void put(String key, String value, long lease) {
        ObjectNode before = items.get(key);
        ObjectNode item = json.createObjectNode()
                .put("key", key)
                .put("value", value)
                .put("revision", revision)
                .put("created", before == null ? revision : before.path("created").asLong())
                .put("lease", lease);
        items.put(key, item);
        history.add(item);
    }

    private void delete(String key) {
        items.remove(key);
        history.add(json.createObjectNode()
                .put("key", key)
                .put("revision", revision)
                .put("deleted", true));
    }

    private void serve(String machine, InputStream in, OutputStream out) throws IOException, InterruptedException {
        boolean lost = false;
        for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
            Door before = door(machine);
            if (lost || before == Door.SILENT) {
                // A connection on which an answer was lost returns nothing further.
                lost = true;
                continue;
            }
            ObjectNode answer = json.createObjectNode();
            int status = before == Door.BUSY ? 503 : respond(machine, call, answer);
            if (door(machine) == Door.SILENT) {
                lost = true;
                continue;
            }
            out.write(Wire.bytes(
                    "HTTP/1.1 " + status + " -",
                    Map.of("Content-Type", "application/json"),
                    json.writeValueAsBytes(answer)));
            out.flush();
        }
    }

    private synchronized int respond(String machine, Wire.Message call, ObjectNode answer)
            throws IOException, InterruptedException {
        expireLeases();
        String[] parts = call.target().split("\\?");
        Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
        String path = parts[0];
        JsonNode body = call.body().length == 0 ? json.createObjectNode() : json.readTree(call.body());
        if (path.equals(Names.RANGE)) {
            return range(query, answer);
        }
        if (path.equals(Names.WATCH)) {
            return watch(machine, query, answer);
        }
        if (path.equals(Names.TRANSACTION)) {
            return commit(machine, body, answer);
        }
        if (path.equals(Names.LEASE)) {
            return obtainLease(body, answer);
        }
        return keepOrEndLease(path, answer);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                result.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private int obtainLease(JsonNode body, ObjectNode answer) {
        double seconds = body.path("ttl-s_time").asDouble();
        long nanos = (long) (seconds * 1e9);
        leases.put(++lastLease, new Lease(nanos, System.nanoTime() + nanos));
        answer.put("lease", lastLease).put("ttl-s_time", seconds);
        return 200;
    }

    private int keepOrEndLease(String path, ObjectNode answer) {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        boolean keeps = path.startsWith(Names.KEEP);
        leases.put(id, new Lease(lease.nanos(), System.nanoTime() + (keeps ? lease.nanos() : 0)));
        expireLeases();
        answer.put("lease", id);
        return 200;
    }

    private int range(Map<String, String> query, ObjectNode answer) {
        ArrayNode list = answer.putArray("items");
        boolean more = false;
        for (ObjectNode item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (item.path("key").asText().startsWith(query.getOrDefault("path-prefix", ""))) {
                more = list.size() == MAX_PAGE;
                if (more) {
                    break;
                }
                list.add(item);
            }
        }
        answer.put("has-more", more).put("store-revision", revision);
        return 200;
    }

    private int watch(String machine, Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        List<ObjectNode> found = changes(after, query.getOrDefault("path-prefix", ""));
        while (found.isEmpty() && System.nanoTime() < end && doors.get(machine) == Door.OPEN) {
            wait(10);
            expireLeases();
            found = changes(after, query.getOrDefault("path-prefix", ""));
        }
        answer.putArray("events").addAll(found);
        answer.put("store-revision", revision);
        return doors.get(machine) == Door.BUSY ? 503 : 200;
    }

    private List<ObjectNode> changes(long after, String prefix) {
        List<ObjectNode> result = new ArrayList<>();
        for (int i = history.size() - 1; i >= 0; i--) {
            ObjectNode change = history.get(i);
            if (change.path("revision").asLong() <= after) {
                break;
            }
            if (change.path("key").asText().startsWith(prefix)) {
                result.addFirst(change);
            }
        }
        return result;
    }

    private int commit(String machine, JsonNode body, ObjectNode answer) {
        boolean met = true;
        for (JsonNode row : body.path("expect")) {
            ObjectNode present = items.get(row.path("key").asText());
            long found = present == null ? 0 : present.path("revision").asLong();
            met &= found == row.path("revision").asLong();
        }
        if (!met) {
            ArrayNode present = answer.putArray("items");
            for (JsonNode row : body.path("expect")) {
                ObjectNode item = items.get(row.path("key").asText());
                if (item != null) {
                    present.add(item);
                }
            }
            return 412;
        }
        for (JsonNode put : body.path("puts")) {
            if (put.path("lease").asLong() != 0 && !leases.containsKey(put.path("lease").asLong())) {
                return 404;
            }
        }
        revision++;
        for (JsonNode put : body.path("puts")) {
            put(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            if (items.containsKey(key.asText())) {
                delete(key.asText());
            }
        }
        boolean bound = false;
        for (JsonNode put : body.path("puts")) {
            bound |= put.path("lease").asLong() != 0;
        }
        if (!body.path("expect").isEmpty() && !bound) {
            lastConditionalWriter = machine;
        }
        answer.put("revision", revision);
        notifyAll();
        return 200;
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endsAt() <= now)
                .map(Map.Entry::getKey)
                .toList();
        for (long lease : ended) {
            leases.remove(lease);
            List<String> keys = items.values().stream()
                    .filter(item -> item.path("lease").asLong() == lease)
                    .map(item -> item.path("key").asText())
                    .toList();
            if (!keys.isEmpty()) {
                revision++;
                keys.forEach(this::delete);
                notifyAll();
            }
        }
    }
}
