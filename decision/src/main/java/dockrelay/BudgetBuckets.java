package dockrelay;

import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** This proxy's shares of the fleet-wide budgets: token buckets that expire unless they are renewed. */
final class BudgetBuckets {
    static final String REDUNDANT = "extra"; // copies, hedges and retries together
    static final String TENANT_PREFIX = "tenant/"; // prefix of a tenant's name: its requests within quota
    /** A refusal counts as waiting this long: if tokens are rare, the next one goes to the next request. */
    private static final long WAITING_MICROS = 2_000_000;

    /** The token bucket of one budget; {@code refillRate} is in tokens per second. */
    private static final class Bucket {
        double refillRate, capacity, tokens;
        long refilledAt, requested, spent, refusedAt = Long.MIN_VALUE / 2;
    }

    private final Map<String, Bucket> buckets = new LinkedHashMap<>();
    private long version = -1, expiresAt = Long.MIN_VALUE;

    boolean restricts(String budget) {
        return buckets.containsKey(budget);
    }

    void update(long now, long newVersion, long newExpiry, List<BudgetShare> shares) {
        buckets.values().forEach(bucket -> refill(now, bucket));
        if (newVersion < version) {
            return;
        }
        expiresAt = newExpiry;
        for (BudgetShare share : newVersion > version ? shares : List.<BudgetShare>of()) {
            Bucket bucket = buckets.computeIfAbsent(share.budget(), name -> new Bucket());
            bucket.refilledAt = Math.max(bucket.refilledAt, now); // a new bucket fills from now on
            bucket.refillRate = share.rate();
            bucket.capacity = share.burst();
            bucket.tokens = Math.min(share.burst(), bucket.tokens + share.addedTokens());
        }
        version = newVersion;
    }

    private void refill(long now, Bucket bucket) {
        long end = Math.min(now, expiresAt);
        if (end > bucket.refilledAt) {
            bucket.tokens = Math.min(bucket.capacity,
                bucket.tokens + bucket.refillRate * (end - bucket.refilledAt) / 1e6);
            bucket.refilledAt = end;
        }
    }

    /** Takes one token of a budget if there is one; a budget without any share so far restricts nothing. */
    boolean take(long now, String budget) {
        Bucket bucket = buckets.get(budget);
        if (bucket == null) {
            return true;
        }
        refill(now, bucket);
        bucket.requested++;
        if (now >= expiresAt || bucket.tokens < 1) {
            bucket.refusedAt = now;
            return false;
        }
        bucket.tokens -= 1;
        bucket.spent++;
        return true;
    }

    List<BudgetUse> usage(long now) {
        return buckets.entrySet().stream().map(entry -> {
            Bucket bucket = entry.getValue();
            refill(now, bucket);
            boolean waits = bucket.tokens < 1 && now - bucket.refusedAt < WAITING_MICROS;
            return new BudgetUse(entry.getKey(), bucket.requested, bucket.spent, waits, bucket.tokens);
        }).toList();
    }
}
