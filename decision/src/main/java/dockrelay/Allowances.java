package dockrelay;

import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What this proxy may spend of the fleet's budgets: buckets that it was lent, each for a while. */
final class Allowances {
    static final String EXTRA = "extra"; // copies, hedges and retries together
    static final String TENANT = "tenant/"; // and its name: a tenant's requests inside its share
    /** One that found nothing waits for so long: with few tokens the next one is for the next request. */
    private static final long WAITS = 2_000_000;

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
            bucket.filledAt = Math.max(bucket.filledAt, now); // what is new earns from now on
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

    /** Spends one of a budget; always so where nothing was ever told of it. */
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
