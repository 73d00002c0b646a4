import java.nio.file.Path;
import java.util.function.BooleanSupplier;

/** A run of a case: ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
abstract class Scenario {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    /** The run ends before the 120 s that a script has. */
    private static final double LAST_S = 117;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Thrown when the case can't be brought about. */
    static final class CouldNotRun extends Exception {
        CouldNotRun(String why) {
            super(why);
        }
    }

    abstract Controllers controllers();

    abstract int play() throws Exception;

    /** @param args the folder of the case, the folder for temporary files, the repository */
    static void main(Scenario scenario, String[] args) throws Exception {
        Thread.currentThread().setName("scenario");
        Runtime.getRuntime().addShutdownHook(new Thread(scenario::end));
        Lab.background(scenario::watch);
        Lab.note("run with TROUBLE=%s", scenario.trouble ? "1" : "0");
        int result;
        try {
            result = scenario.play();
        } catch (CouldNotRun e) {
            Lab.note("could not run: %s", e.getMessage());
            result = COULD_NOT_RUN;
        } catch (Exception e) {
            Lab.note("could not run: %s", e);
            result = COULD_NOT_RUN;
        }
        Lab.note("result: %d (%s)", result, result == HELD ? "held" : result == BROKEN ? "broken" : "could not run");
        System.exit(result);
    }

    private void end() {
        if (controllers() != null) {
            controllers().endAll();
        }
    }

    // Ends the run when its time is over, or when the script that started it is gone.
    private void watch() {
        long parent = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L);
        try {
            while (true) {
                Lab.sleep(0.5);
                boolean orphaned =
                        ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L) != parent;
                if (Lab.now() > LAST_S || orphaned) {
                    Lab.note("result: 2 (could not run: %s)", orphaned ? "the script is gone" : "out of time");
                    end();
                    Runtime.getRuntime().halt(COULD_NOT_RUN);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void require(boolean condition, String why) throws CouldNotRun {
        if (!condition) {
            throw new CouldNotRun(why);
        }
    }

    /** Waits until a condition holds; the case can't run if it doesn't in that time. */
    static void await(String what, double timeoutS, BooleanSupplier condition) throws Exception {
        double until = Lab.now() + timeoutS;
        while (!condition.getAsBoolean()) {
            require(Lab.now() < until, "waited in vain for: " + what);
            Lab.sleep(0.05);
        }
        Lab.note("seen: %s", what);
    }

    static Path folder(String[] args, int index) {
        return Path.of(args[index]).toAbsolutePath();
    }
}
