package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    /** Whether the disruption happens; TROUBLE=0 does the same without it. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;

    /** Runs the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    final void main() {
        int status = 2;
        try (Record opened = new Record(Path.of(System.getProperty("review.record")))) {
            record = opened;
            record.say(trouble ? "with the disruption" : "without the disruption");
            try {
                status = run() ? 0 : 1;
            } catch (Throwable e) {
                record.say("could not run: " + e);
            }
            record.say(status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
