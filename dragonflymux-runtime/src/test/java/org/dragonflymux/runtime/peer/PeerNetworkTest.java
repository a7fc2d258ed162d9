package org.dragonflymux.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {

    private static final int TIMEOUT_SECONDS = 20;

    private final List<PeerNetwork> networks = new ArrayList<>();
    private final Recorder first = new Recorder();
    private final Recorder second = new Recorder();
    private InetSocketAddress firstAddress;
    private InetSocketAddress secondAddress;

    /** Records the events of a network. */
    private static final class Recorder implements PeerListener {

        private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<PeerProtocolError> closeReasons = new LinkedBlockingQueue<>();
        private final BlockingQueue<Boolean> failedForwards = new LinkedBlockingQueue<>();

        @Override
        public void messageReceived(String fromAddress, PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void forwardFailed(long request, boolean mayHaveArrived) {
            failedForwards.add(mayHaveArrived);
        }

        @Override
        public void linkClosed(String address, PeerProtocolError reason) {
            closeReasons.add(reason);
        }
    }

    @BeforeEach
    void chooseAddresses() throws IOException {
        firstAddress = freeAddress();
        secondAddress = freeAddress();
    }

    @AfterEach
    void close() {
        networks.forEach(PeerNetwork::close);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private PeerNetwork listen(InetSocketAddress address, String secret, Recorder recorder)
            throws InterruptedException {
        PeerNetwork network = PeerNetwork.listen(address, secret, recorder);
        networks.add(network);
        return network;
    }

    @Test
    void deliversMessagesInBothDirectionsWhileLinksAreOpened() throws InterruptedException {
        PeerNetwork firstNetwork = listen(firstAddress, "s", first);
        PeerNetwork secondNetwork = listen(secondAddress, "s", second);
        for (int i = 0; i < 500; i++) {
            firstNetwork.send(PeerNetwork.format(secondAddress), new PeerMessage.Ask(i, i));
            secondNetwork.send(PeerNetwork.format(firstAddress), new PeerMessage.Ask(i, i));
        }
        for (int i = 0; i < 500; i++) {
            assertThat(second.messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
            assertThat(first.messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(first.closeReasons).isEmpty();
        assertThat(second.closeReasons).isEmpty();
    }

    @Test
    void deliversManyLargeOutcomes() throws InterruptedException {
        PeerNetwork firstNetwork = listen(firstAddress, "s", first);
        listen(secondAddress, "s", second);
        byte[] body = new byte[100_000];
        for (int i = 0; i < 100; i++) {
            Outcome outcome = new Outcome.Answered(200, List.of(), body);
            firstNetwork.send(PeerNetwork.format(secondAddress), new PeerMessage.ForwardOutcome(i, outcome));
        }
        for (int i = 0; i < 100; i++) {
            assertThat(second.messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isInstanceOfSatisfying(
                            PeerMessage.ForwardOutcome.class,
                            forward -> assertThat(forward.outcome()).isInstanceOf(Outcome.Answered.class));
        }
    }

    @Nested
    class Rejects {

        @Test
        void aHostWithAnotherSecret() throws InterruptedException {
            PeerNetwork firstNetwork = listen(firstAddress, "s", first);
            listen(secondAddress, "other", second);
            firstNetwork.send(PeerNetwork.format(secondAddress), new PeerMessage.Ask(1, 1));
            assertThat(first.closeReasons.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(PeerProtocolError.SECRET);
            assertThat(second.messages).isEmpty();
        }

        @Test
        void malformedInputWithoutAffectingOtherLinks() throws Exception {
            PeerNetwork firstNetwork = listen(firstAddress, "s", first);
            listen(secondAddress, "s", second);
            Random random = new Random(11);
            for (int i = 0; i < 20; i++) {
                byte[] malformed = new byte[1 + random.nextInt(300)];
                random.nextBytes(malformed);
                try (Socket socket = new Socket(secondAddress.getAddress(), secondAddress.getPort())) {
                    socket.getOutputStream().write(malformed);
                }
            }
            firstNetwork.send(PeerNetwork.format(secondAddress), new PeerMessage.Ask(1, 1));
            assertThat(second.messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(new PeerMessage.Ask(1, 1));
        }
    }

    @Test
    void reportsAnUndeliveredForwardIfNoHostListens() throws InterruptedException {
        PeerNetwork firstNetwork = listen(firstAddress, "s", first);
        firstNetwork.send(PeerNetwork.format(secondAddress), new PeerMessage.Forward(1, null, 10));
        assertThat(first.failedForwards.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isFalse();
    }
}
