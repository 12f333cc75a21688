package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;

/**
 * What all processes of the fleet together may spend: at most {@code burst} and {@code rate} times t
 * seconds in
 * any t seconds. Both are in millionths of one, so that parts add up without rounding.
 */
public record Budget(String name, long rate, long burst) {
    public static final long MICROTOKENS_PER_TOKEN = 1_000_000;
    /** 100,000 a second, and as many at once. */
    public static final long MOST = 100_000 * MICROTOKENS_PER_TOKEN;
    /** Tokens are lent one by one where a burst is small; with fewer than two one would lie idle. */
    public static final long LEAST_BURST = 2 * MICROTOKENS_PER_TOKEN;
    private static final int LONGEST_NAME = 64;

    public Budget {
        if (name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new BudgetException(BudgetException.Code.NAME, "budget name \"" + name + "\" has "
                + name.length() + " characters", "give it 1 to " + LONGEST_NAME);
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

    /** So many a second; where no burst is named, one second's worth. */
    public static Budget perSecond(String name, double rate) {
        long micros = Math.round(rate * MICROTOKENS_PER_TOKEN);
        return new Budget(name, micros, Math.max(LEAST_BURST, micros));
    }

    /** How it is called on the wire. */
    int id() {
        return MemberList.idOf(name);
    }
}
