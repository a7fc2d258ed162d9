import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
final class Script {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private Script() {}

    /** A case. */
    interface Case {

        /**
         * Plays the case and judges it.
         *
         * @param root the repository
         * @param folder a temporary folder
         * @param trouble whether the disruption takes place
         */
        int play(Path root, Path folder, Record record, boolean trouble) throws Exception;
    }

    /**
     * Runs a case and ends the process.
     *
     * @param arguments the repository and the file of the record
     */
    static void run(String[] arguments, Case played) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]))) {
            Path folder = Files.createTempDirectory("review");
            try {
                result = played.play(Path.of(arguments[0]), folder, record, trouble);
            } catch (Exception failure) {
                record.say("could not run: " + failure);
            } finally {
                Gateways.delete(folder);
            }
        } catch (Exception failure) {
            System.out.println("could not run: " + failure);
            result = COULD_NOT_RUN;
        }
        System.exit(result);
    }
}
