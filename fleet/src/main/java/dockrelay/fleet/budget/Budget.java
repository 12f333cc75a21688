package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;

/**
 * A token bucket shared by the whole fleet: in any t seconds all processes together may spend at most
 * {@code burst + rate * t} tokens. Both are in millionths of a token (rate: per second), so that the
 * shares of the processes add up without rounding errors.
 */
public record Budget(String name, long rate, long burst) {
    public static final long MICROTOKENS_PER_TOKEN = 1_000_000;
    /** Upper limit of rate and burst: 100,000 tokens (a second). */
    public static final long MAX_MICROTOKENS = 100_000 * MICROTOKENS_PER_TOKEN;
    /**
     * Small bursts are leased token by token; with fewer than two tokens one of them would always be
     * idle.
     */
    public static final long MIN_BURST_MICROTOKENS = 2 * MICROTOKENS_PER_TOKEN;
    private static final int MAX_NAME_LENGTH = 64;

    public Budget {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new BudgetException(BudgetException.Code.NAME, "budget name \"" + name + "\" has "
                + name.length() + " characters", "allowed are 1 to " + MAX_NAME_LENGTH);
        }
        if (rate <= 0 || rate > MAX_MICROTOKENS) {
            throw new BudgetException(BudgetException.Code.RATE, "budget " + name + ": rate of "
                + rate / (double) MICROTOKENS_PER_TOKEN + " a second", "allowed is more than 0 and up to "
                + MAX_MICROTOKENS / MICROTOKENS_PER_TOKEN);
        }
        if (burst < MIN_BURST_MICROTOKENS || burst > MAX_MICROTOKENS) {
            throw new BudgetException(BudgetException.Code.BURST, "budget " + name + ": burst of "
                + burst / (double) MICROTOKENS_PER_TOKEN, "allowed is "
                + MIN_BURST_MICROTOKENS / MICROTOKENS_PER_TOKEN + " to "
                + MAX_MICROTOKENS / MICROTOKENS_PER_TOKEN);
        }
    }

    /** A budget with this rate in tokens a second and a burst of one second's tokens. */
    public static Budget perSecond(String name, double rate) {
        long microtokens = Math.round(rate * MICROTOKENS_PER_TOKEN);
        return new Budget(name, microtokens, Math.max(MIN_BURST_MICROTOKENS, microtokens));
    }

    /** The id that stands for the name on the wire. */
    int id() {
        return MemberList.idOf(name);
    }
}
