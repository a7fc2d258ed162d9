import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening address. Each connection has a thread of its own, which handles one request after another. */
final class Listener {

    private final InetSocketAddress address;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket socket;

    /** Handles a request; the connection is closed if it returns false or throws. */
    interface Handler {

        boolean handle(Http.Message request, Socket connection) throws IOException, InterruptedException;
    }

    private Listener(InetSocketAddress address, Handler handler) {
        this.address = address;
        this.handler = handler;
    }

    static Listener start(InetSocketAddress address, Handler handler) throws IOException {
        Listener listener = new Listener(address, handler);
        listener.open();
        return listener;
    }

    /** Accepts connections from now on. */
    synchronized void open() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(address, 512);
        socket = opened;
        Thread.ofVirtual().start(() -> accept(opened));
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket connection = from.accept();
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The listener was closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            var in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                var request = Http.read(in);
                if (request.isEmpty() || !handler.handle(request.get(), connection)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The peer or this stand-in has ended the connection.
        } finally {
            connections.remove(connection);
        }
    }

    /** Ends as a process that crashes: the address is free, and all connections are reset. */
    synchronized void crash() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException closed) {
                // It had ended before.
            }
        }
    }
}
