import java.io.IOException;

/** Servers crash, one after the other, and are back under their ids half a second to one and a half seconds later. */
final class RestartedServers {

    private static final int CRASHES = 13;
    private static final int MIN_DOWN_MILLIS = 500;
    private static final int MAX_DOWN_MILLIS = 1_500;
    private static final int PAUSE_MILLIS = 6_000;

    private RestartedServers() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, 2, 8, new Deployment.Traffic(60, 0.4, 200, 2_000), RestartedServers::crashInTurn);
    }

    private static void crashInTurn(Deployment deployment) throws IOException, InterruptedException {
        for (int i = 0; i < CRASHES; i++) {
            Target target = deployment.targets.get(i % deployment.targets.size());
            if (Deployment.troubled()) {
                target.crash();
                Thread.sleep(deployment.random.nextInt(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS));
                target.start();
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
