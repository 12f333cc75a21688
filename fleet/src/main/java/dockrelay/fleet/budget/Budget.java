package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;

/**
 * A token bucket shared by the whole fleet: in any t seconds all processes together may spend at most
 * {@code burst + rate * t} tokens. Both are in millionths of a token (rate: per second), so that the
 * shares of the processes add up without rounding errors.
 */
public record Budget(String name, long rate, long burst) {
    public static final long MICROTOKENS_PER_TOKEN = 1_000_000;
    /** 100,000 tokens a second, and as large a burst. */
    public static final long MOST = 100_000 * MICROTOKENS_PER_TOKEN;
    /**
     * Small bursts are leased token by token; with fewer than two tokens one of them would always be
     * idle.
     */
    public static final long LEAST_BURST = 2 * MICROTOKENS_PER_TOKEN;
    private static final int LONGEST_NAME = 64;

    public Budget {
        if (name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new BudgetException(BudgetException.Code.NAME, "budget name \"" + name + "\" has "
                + name.length() + " characters", "allowed are 1 to " + LONGEST_NAME);
        }
        if (rate <= 0 || rate > MOST) {
            throw new BudgetException(BudgetException.Code.RATE, "budget " + name + ": rate of "
                + rate / (double) MICROTOKENS_PER_TOKEN + " a second", "allowed is more than 0 and up to " + MOST / MICROTOKENS_PER_TOKEN);
        }
        if (burst < LEAST_BURST || burst > MOST) {
            throw new BudgetException(BudgetException.Code.BURST, "budget " + name + ": burst of "
                + burst / (double) MICROTOKENS_PER_TOKEN, "allowed is " + LEAST_BURST / MICROTOKENS_PER_TOKEN + " to " + MOST / MICROTOKENS_PER_TOKEN);
        }
    }

    /** A budget of so many tokens a second, with a burst of one second's tokens. */
    public static Budget perSecond(String name, double rate) {
        long micros = Math.round(rate * MICROTOKENS_PER_TOKEN);
        return new Budget(name, micros, Math.max(LEAST_BURST, micros));
    }

    /** The id that stands for the name on the wire. */
    int id() {
        return MemberList.idOf(name);
    }
}
