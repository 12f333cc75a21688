package dockrelay.lab.plan;

import dockrelay.lab.plan.Plan.Arrival;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.spec.Experiment.Spread;
import dockrelay.lab.spec.Experiment.Tenant;
import dockrelay.lab.spec.Experiment.Traced;
import dockrelay.lab.spec.SpecException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the properties of each request, where a trace does not specify them. */
final class Requests {
    private final Experiment experiment;
    private final double[] means, cvs, classShares, tenantShares, keyShares;
    private final double retries;
    private final RandomGenerator draws;

    Requests(Experiment experiment, long seed, double[] means, double[] cvs) {
        this.experiment = experiment;
        this.means = means;
        this.cvs = cvs;
        this.draws = RandomStreams.stream(seed, "requests");
        this.retries = experiment.clients().retries().draw(draws);
        classShares = sums(experiment.classes().stream().mapToDouble(ServiceClass::share).toArray());
        tenantShares = sums(experiment.tenants().stream().mapToDouble(Tenant::share).toArray());
        double[] keys = new double[experiment.clients().keys()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = Math.pow(i + 1, -experiment.clients().keySkew()); // Zipf distribution
        }
        keyShares = sums(keys);
    }

    private static double[] sums(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    /** Draws an index with probabilities given by their cumulative sums. */
    private int pick(double[] sums) {
        int index = Arrays.binarySearch(sums, draws.nextDouble() * sums[sums.length - 1]);
        return Math.min(sums.length - 1, index < 0 ? -index - 1 : index + 1);
    }

    Arrival next(int number, Traced given) {
        int type = given.serviceClass().isEmpty() ? pick(classShares) : classOf(given.serviceClass());
        double work = given.work() > 0 ? given.work() : work(experiment.classes().get(type).spread(), type);
        String tenant = !given.tenant().isEmpty() ? given.tenant() : tenantShares.length == 0 ? ""
            : experiment.tenants().get(pick(tenantShares)).name();
        String route = !given.key().isEmpty() ? given.key() : keyShares.length == 0 ? "" : "k"
            + pick(keyShares);
        return new Arrival(number, given.at(), type, work, experiment.clients().tryShare().draw(draws),
            (int) Math.floor(retries + draws.nextDouble()),
            HexFormat.of().toHexDigits(draws.nextLong()) + HexFormat.of().toHexDigits(draws.nextLong()),
            tenant,
            route, draws.nextLong());
    }

    private int classOf(String name) {
        List<String> names = experiment.classes().stream().map(ServiceClass::name).toList();
        if (!names.contains(name)) {
            throw new SpecException("clients.trace: no class is named " + name + "; there are " + names);
        }
        return names.indexOf(name);
    }

    private double work(Spread spread, int type) {
        double work = switch (spread) {
            case EXP -> means[type] * draws.nextExponential();
            case FIXED -> means[type];
            case LOGNORMAL -> {
                double variance = Math.log1p(cvs[type] * cvs[type]);
                yield means[type] * Math.exp(draws.nextGaussian() * Math.sqrt(variance) - variance / 2);
            }
        };
        return Math.max(1, work);
    }
}
