package org.dragonflymux.runtime.http;

import java.time.Duration;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;

/** The threads on which a program's Ratpack clients run. */
public final class RatpackExecutor implements AutoCloseable {

    private final ExecController controller;

    private RatpackExecutor(ExecController controller) {
        this.controller = controller;
    }

    /** Returns an executor on a number of event-loop threads of its own. */
    public static RatpackExecutor withThreads(int threads) {
        return new RatpackExecutor(new DefaultExecController(threads));
    }

    /** Returns an executor on the threads of a running server. */
    public static RatpackExecutor of(ExecController controller) {
        return new RatpackExecutor(controller);
    }

    /** Returns the controller of the threads. */
    public ExecController controller() {
        return controller;
    }

    /**
     * Returns an HTTP client that runs on these threads.
     *
     * @param poolSize how many idle connections to keep for each address
     * @param maxBytes the largest body that is taken, in bytes
     */
    public HttpClient client(int poolSize, int maxBytes, Duration connectTimeout) throws HttpSetupException {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .poolSize(poolSize)
                    .connectTimeout(connectTimeout)
                    .maxContentLength(maxBytes));
        } catch (Exception e) {
            throw new HttpSetupException(e);
        }
    }

    /** Runs an action as an execution of its own; its failure goes to the handler. */
    public void execute(Action<? super ratpack.exec.Execution> action, Action<? super Throwable> onError) {
        controller.fork().onError(onError).start(action);
    }

    @Override
    public void close() {
        controller.close();
    }
}
