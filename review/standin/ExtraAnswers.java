import java.io.IOException;
import java.util.List;

/** Some servers send a few of their answers twice, the second time late. */
final class ExtraAnswers {

    private static final double SHARE_OF_SERVERS = 0.6;
    private static final double SHARE_OF_ANSWERS = 0.03;
    private static final int TIMES = 16;
    private static final int LENGTH_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 1_000;
    private static final int WORK_MILLIS = 100;

    private ExtraAnswers() {}

    public static void main(String[] arguments) {
        Deployment.run(arguments, 2, 10, new Deployment.Traffic(160, 0.5, 100, 1_000), ExtraAnswers::sendTwice);
    }

    private static void sendTwice(Deployment deployment) throws IOException, InterruptedException {
        List<Target> targets = deployment.targets;
        targets.forEach(target -> target.workMillis(WORK_MILLIS));
        for (int i = 0; i < TIMES; i++) {
            setExtraShare(targets, Deployment.troubled() ? SHARE_OF_ANSWERS : 0);
            Thread.sleep(LENGTH_MILLIS);
            setExtraShare(targets, 0);
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private static void setExtraShare(List<Target> targets, double share) {
        for (int i = 0; i < (int) (targets.size() * SHARE_OF_SERVERS); i++) {
            targets.get(i).extraShare(share);
        }
    }
}
