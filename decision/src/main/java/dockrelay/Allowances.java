package dockrelay;

import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** This proxy's shares of the fleet-wide budgets: token buckets that expire unless they are renewed. */
final class Allowances {
    static final String EXTRA = "extra"; // copies, hedges and retries together
    static final String TENANT = "tenant/"; // prefix of a tenant's name: its requests within quota
    /** A refusal counts as waiting this long: if tokens are rare, the next one goes to the next request. */
    private static final long WAITS = 2_000_000;

    /** The token bucket of one budget; {@code rate} is in tokens per second. */
    private static final class Bucket {
        double rate, burst, tokens;
        long filledAt, asked, spent, missedAt = Long.MIN_VALUE / 2;
    }

    private final Map<String, Bucket> buckets = new LinkedHashMap<>();
    private long telling = -1, until = Long.MIN_VALUE;

    boolean has(String budget) {
        return buckets.containsKey(budget);
    }

    void told(long now, long number, long end, List<BudgetShare> parts) {
        buckets.values().forEach(bucket -> fill(now, bucket));
        if (number < telling) {
            return;
        }
        until = end;
        for (BudgetShare part : number > telling ? parts : List.<BudgetShare>of()) {
            Bucket bucket = buckets.computeIfAbsent(part.budget(), name -> new Bucket());
            bucket.filledAt = Math.max(bucket.filledAt, now); // a new bucket fills from now on
            bucket.rate = part.rate();
            bucket.burst = part.burst();
            bucket.tokens = Math.min(part.burst(), bucket.tokens + part.add());
        }
        telling = number;
    }

    private void fill(long now, Bucket bucket) {
        long to = Math.min(now, until);
        if (to > bucket.filledAt) {
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + bucket.rate * (to - bucket.filledAt)
                / 1e6);
            bucket.filledAt = to;
        }
    }

    /** Takes one token of a budget if there is one; a budget without any share so far restricts nothing. */
    boolean take(long now, String budget) {
        Bucket bucket = buckets.get(budget);
        if (bucket == null) {
            return true;
        }
        fill(now, bucket);
        bucket.asked++;
        if (now >= until || bucket.tokens < 1) {
            bucket.missedAt = now;
            return false;
        }
        bucket.tokens -= 1;
        bucket.spent++;
        return true;
    }

    List<BudgetUse> uses(long now) {
        return buckets.entrySet().stream().map(entry -> {
            Bucket bucket = entry.getValue();
            fill(now, bucket);
            boolean waits = bucket.tokens < 1 && now - bucket.missedAt < WAITS;
            return new BudgetUse(entry.getKey(), bucket.asked, bucket.spent, waits, bucket.tokens);
        }).toList();
    }
}
