package org.dragonflymux.runtime.http;

import java.time.Duration;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;

/** Runs Ratpack executions and HTTP clients on a set of event-loop threads. */
public final class RatpackExecutor implements AutoCloseable {

    private final ExecController controller;

    private RatpackExecutor(ExecController controller) {
        this.controller = controller;
    }

    /** Returns an executor with its own event-loop threads. */
    public static RatpackExecutor withThreads(int threads) {
        return new RatpackExecutor(new DefaultExecController(threads));
    }

    /** Returns an executor that uses the threads of a running server. */
    public static RatpackExecutor of(ExecController controller) {
        return new RatpackExecutor(controller);
    }

    public ExecController controller() {
        return controller;
    }

    /**
     * Returns an HTTP client that runs on these threads.
     *
     * @param poolSize the maximum number of idle connections to keep per address
     * @param maxResponseBytes the size above which a response body is rejected, in bytes
     */
    public HttpClient client(int poolSize, int maxResponseBytes, Duration connectTimeout) throws HttpSetupException {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .poolSize(poolSize)
                    .connectTimeout(connectTimeout)
                    .maxContentLength(maxResponseBytes));
        } catch (Exception e) {
            throw new HttpSetupException(e);
        }
    }

    /** Runs an action as a separate Ratpack execution, and passes its failure to {@code onError}. */
    public void execute(Action<? super ratpack.exec.Execution> action, Action<? super Throwable> onError) {
        controller.fork().onError(onError).start(action);
    }

    @Override
    public void close() {
        controller.close();
    }
}
