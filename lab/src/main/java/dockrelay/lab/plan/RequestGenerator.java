package dockrelay.lab.plan;

import dockrelay.lab.plan.Plan.Arrival;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.spec.Experiment.WorkDistribution;
import dockrelay.lab.spec.Experiment.Tenant;
import dockrelay.lab.spec.Experiment.TraceEntry;
import dockrelay.lab.spec.SpecException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the properties of each request, where a trace does not specify them. */
final class RequestGenerator {
    private final Experiment experiment;
    private final double[] meanWork, workVariations, cumulativeClassShares, cumulativeTenantShares,
        cumulativeKeyShares;
    private final double meanMaxRetries;
    private final RandomGenerator random;

    RequestGenerator(Experiment experiment, long seed, double[] meanWork, double[] workVariations) {
        this.experiment = experiment;
        this.meanWork = meanWork;
        this.workVariations = workVariations;
        this.random = RandomStreams.stream(seed, "requests");
        this.meanMaxRetries = experiment.clients().maxRetries().draw(random);
        cumulativeClassShares = toCumulative(experiment.classes().stream().mapToDouble(ServiceClass::share)
            .toArray());
        cumulativeTenantShares = toCumulative(experiment.tenants().stream().mapToDouble(Tenant::share)
            .toArray());
        double[] keyWeights = new double[experiment.clients().routingKeyCount()];
        for (int i = 0; i < keyWeights.length; i++) {
            keyWeights[i] = Math.pow(i + 1, -experiment.clients().routingKeySkew()); // Zipf distribution
        }
        cumulativeKeyShares = toCumulative(keyWeights);
    }

    private static double[] toCumulative(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    /** Draws an index with probabilities given by their cumulative sums. */
    private int drawIndex(double[] cumulativeShares) {
        int index = Arrays.binarySearch(cumulativeShares, random.nextDouble()
            * cumulativeShares[cumulativeShares.length - 1]);
        return Math.min(cumulativeShares.length - 1, index < 0 ? -index - 1 : index + 1);
    }

    Arrival next(int requestIndex, TraceEntry traceEntry) {
        int classIndex = traceEntry.serviceClass().isEmpty() ? drawIndex(cumulativeClassShares)
            : classIndex(traceEntry.serviceClass());
        double work = traceEntry.work() > 0 ? traceEntry.work() : drawWork(experiment.classes()
            .get(classIndex).workDistribution(), classIndex);
        String tenant = !traceEntry.tenant().isEmpty() ? traceEntry.tenant()
            : cumulativeTenantShares.length == 0 ? ""
            : experiment.tenants().get(drawIndex(cumulativeTenantShares)).name();
        String routingKey = !traceEntry.routingKey().isEmpty() ? traceEntry.routingKey()
            : cumulativeKeyShares.length == 0 ? "" : "k"
            + drawIndex(cumulativeKeyShares);
        return new Arrival(requestIndex, traceEntry.sendTime(), classIndex, work, experiment.clients()
            .tryTimeoutShare().draw(random),
            (int) Math.floor(meanMaxRetries + random.nextDouble()),
            HexFormat.of().toHexDigits(random.nextLong()) + HexFormat.of().toHexDigits(random.nextLong()),
            tenant,
            routingKey, random.nextLong());
    }

    private int classIndex(String name) {
        List<String> names = experiment.classes().stream().map(ServiceClass::name).toList();
        if (!names.contains(name)) {
            throw new SpecException("clients.trace: no class is named " + name + "; there are " + names);
        }
        return names.indexOf(name);
    }

    private double drawWork(WorkDistribution distribution, int classIndex) {
        double work = switch (distribution) {
            case EXP -> meanWork[classIndex] * random.nextExponential();
            case FIXED -> meanWork[classIndex];
            case LOGNORMAL -> {
                double variance = Math.log1p(workVariations[classIndex] * workVariations[classIndex]);
                yield meanWork[classIndex] * Math.exp(random.nextGaussian() * Math.sqrt(variance) - variance
                    / 2);
            }
        };
        return Math.max(1, work);
    }
}
