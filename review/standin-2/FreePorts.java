import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports of loopback addresses that nothing uses. */
final class FreePorts {

    /** The number of ports that a gateway may use beside those that it listens on. */
    static final int RANGE = 16;

    private static final int FIRST = 15_000;
    private static final int LAST = 30_000;
    private static final int TRIES = 200;
    private static final Set<String> GIVEN = new HashSet<>();

    private FreePorts() {}

    /** Returns a free port. */
    static synchronized int one(String ip) throws IOException {
        return find(ip, 1);
    }

    /** Returns the first of {@value #RANGE} free ports in a row. */
    static synchronized int range(String ip) throws IOException {
        return find(ip, RANGE);
    }

    private static int find(String ip, int count) throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int first = ThreadLocalRandom.current().nextInt(FIRST, LAST);
            if (allFree(ip, first, count)) {
                for (int port = first; port < first + count; port++) {
                    GIVEN.add(ip + ":" + port);
                }
                return first;
            }
        }
        throw new IOException("no free ports at " + ip);
    }

    private static boolean allFree(String ip, int first, int count) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        for (int port = first; port < first + count; port++) {
            if (GIVEN.contains(ip + ":" + port)) {
                return false;
            }
            try (ServerSocket stream = new ServerSocket(port, 1, address);
                    DatagramSocket datagrams = new DatagramSocket(port, address)) {
                // Both can be bound.
            } catch (IOException used) {
                return false;
            }
        }
        return true;
    }
}
