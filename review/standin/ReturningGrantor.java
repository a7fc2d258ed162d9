import java.io.IOException;

/** The store refuses the machine that last wrote to it under a condition for some seconds, and serves the others. */
final class ReturningGrantor {

    private static final int TIMES = 4;
    private static final int REFUSED_MILLIS = 21_000;
    private static final int PAUSE_MILLIS = 3_000;

    private ReturningGrantor() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, 3, 12, new Deployment.Traffic(100, 0.4, 100, 2_000), ReturningGrantor::refuseGrantor);
    }

    private static void refuseGrantor(Deployment deployment) throws IOException, InterruptedException {
        for (int i = 0; i < TIMES; i++) {
            String machine = deployment.store.lastConditionalWriter();
            RunRecord.show("the store answers nothing to %s", machine);
            if (Deployment.troubled()) {
                deployment.store.set(machine, Store.Door.SILENT);
            }
            Thread.sleep(REFUSED_MILLIS);
            deployment.holders.healed();
            deployment.store.set(machine, Store.Door.OPEN);
            RunRecord.show("the store answers %s again", machine);
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
