package dockrelay.lab.scale;

/**
 * A size that is not played, and why, in one line: the code under test does not take it, or the machine has
 * no room for it. What an operator can do is part of the line where there is something.
 */
public final class SizeRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    public SizeRefusedException(String why) {
        super(why);
    }
}
