import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket with a thread for each connection. */
final class Listener {

    /** Serves one connection until it ends. */
    interface Service {
        void serve(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    private final ServerSocket socket = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    private Listener() throws IOException {}

    static Listener start(String host, int port, Service service) throws IOException {
        Listener listener = new Listener();
        listener.socket.setReuseAddress(true);
        listener.socket.bind(new InetSocketAddress(host, port), 512);
        Thread.ofVirtual().start(() -> listener.accept(service));
        return listener;
    }

    int port() {
        return socket.getLocalPort();
    }

    private void accept(Service service) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                open.add(connection);
                Thread.ofVirtual().start(() -> serve(connection, service));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection, Service service) {
        try (connection) {
            service.serve(new BufferedInputStream(connection.getInputStream()), connection.getOutputStream());
        } catch (IOException ended) {
            // The other side closed the connection, or this one crashed.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(connection);
        }
    }

    /** Closes the socket and resets all connections, as the end of the process does. */
    void crash() throws IOException {
        socket.close();
        for (Socket connection : open) {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException closed) {
                // The connection had ended already.
            }
        }
    }
}
