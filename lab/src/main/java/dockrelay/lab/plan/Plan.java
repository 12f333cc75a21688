package dockrelay.lab.plan;

import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.Clients;
import dockrelay.lab.spec.Experiment.DiskFault;
import dockrelay.lab.spec.Experiment.Fault;
import dockrelay.lab.spec.Experiment.FaultKind;
import dockrelay.lab.spec.Experiment.FolderOnRestart;
import dockrelay.lab.spec.Experiment.NodeKind;
import dockrelay.lab.spec.Experiment.Link;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.spec.SpecException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.random.RandomGenerator;

/**
 * Everything that an experiment and a seed determine before the run: the parameters of the nodes, every
 * arrival, every fault and its victims. Times are microseconds since the clients started. The same file and
 * seed always give the same plan. The hash, SHA-256 over the text form of nodes, arrivals and faults,
 * verifies this, so the names of those records and of their components are part of it.
 */
public record Plan(Experiment experiment, long seed, List<Node> nodes, double[] meanWorkByClass,
    double requestsPerSecond,
                   List<Arrival> arrivals, List<Break> faults, String sha256) {
    private static final double MICROS_PER_SECOND = 1_000_000;
    /**
     * Share of each period spent in a burst, and the burst's rate relative to the mean, which bursts
     * preserve.
     */
    private static final double BURST_SHARE = 0.2, BURST_RATE = 2;

    /** An emulated node (backend). */
    public record Node(int index, String name, String zone, String kind, int cell, Figures figures) {
    }

    /**
     * The drawn parameters of a node. Times and work are in microseconds, work as executed by a standard
     * core; speed is relative to such a core.
     */
    public record Figures(int cores, double speed, int slots, int queue, double chokeAt, long chokeOver,
                          double chokeSlower, double chokeBelow, long chokeRest, long chokeMost,
                          double coldFrom,
                          long coldTime, boolean warmByRequests, double fallMultiple, long fallTime,
                          int connections,
                          double fullTax, double handshakeWork, long handshakeDelay, double probeWork,
                          long reportPeriod, double reportNoise, double errorRate, boolean dropsExpired,
                          boolean stopsOnCancel) {
        /** Work executed per microsecond by a node that is warm and not slowed down. */
        public double capacity() {
            return cores * speed;
        }
    }

    /**
     * A client's request, which the client retries at most {@code retries} times. {@code key} is the
     * idempotency key and {@code route} the routing key; tenant and route may be empty. {@code salt} seeds
     * what is drawn for this request during the run.
     */
    public record Arrival(int index, long at, int serviceClass, double work, double tryShare, int retries,
        String key, String tenant,
                          String route, long salt) {
    }

    /** One occurrence of a fault, with its victims drawn. */
    public record Break(long at, long lasts, FaultKind kind, List<Integer> victims, double size,
                        FolderOnRestart folder, DiskFault disk, Link link) {
        public long endAt() {
            return at + lasts;
        }
    }

    /** Draws the plan of an experiment; throws a SpecException if a fault names an unknown victim. */
    public static Plan generate(Experiment experiment, long seed) {
        List<Node> nodes = nodes(experiment, seed);
        double[] meanWork = new double[experiment.classes().size()];
        double[] workVariations = new double[meanWork.length];
        RandomGenerator random = RandomStreams.stream(seed, "classes");
        double shareSum = 0, weightedWork = 0;
        for (int i = 0; i < meanWork.length; i++) {
            ServiceClass serviceClass = experiment.classes().get(i);
            meanWork[i] = serviceClass.meanWork().draw(random);
            workVariations[i] = serviceClass.workVariation().draw(random);
            shareSum += serviceClass.share();
            weightedWork += serviceClass.share() * meanWork[i];
        }
        double capacity = nodes.stream().mapToDouble(node -> node.figures().capacity()).sum();
        Clients clients = experiment.clients();
        double requestsPerMicro = clients.requestsPerSecond() > 0 ? clients.requestsPerSecond()
            / MICROS_PER_SECOND
            : clients.load() * capacity / (weightedWork / shareSum);
        List<Arrival> arrivals = arrivals(experiment, seed, requestsPerMicro, meanWork, workVariations);
        List<Break> faults = drawFaults(experiment, seed, nodes);
        return new Plan(experiment, seed, nodes, meanWork, requestsPerMicro * MICROS_PER_SECOND, arrivals,
            faults,
            hash(nodes, meanWork, arrivals, faults));
    }

    private static List<Node> nodes(Experiment experiment, long seed) {
        RandomGenerator random = RandomStreams.stream(seed, "nodes");
        Experiment.Nodes spec = experiment.nodes();
        Experiment.OverloadSlowdown slowdown = spec.overloadSlowdown();
        double shareSum = spec.kinds().stream().mapToDouble(NodeKind::share).sum();
        List<Node> result = new ArrayList<>();
        int zoneCount = spec.zones().size();
        for (int i = 0; i < spec.count(); i++) {
            // The golden-ratio sequence instead of random draws: even a few nodes match the kinds' shares
            // closely.
            NodeKind kind = kindAt(spec.kinds(), shareSum * ((i * 0.6180339887498949 + 0.5) % 1));
            double slowdownFactor = slowdown.slowdownFactor().draw(random);
            Experiment.Connections connections = spec.connections();
            Figures figures = new Figures(kind.cores(), kind.speed().draw(random),
                (int) Math.max(1, Math.round(kind.slotsPerCore().draw(random) * kind.cores())),
                (int) Math.round(kind.maxQueuedPerCore().draw(random) * kind.cores()),
                slowdown.thresholdPerCore().draw(random), Math.round(slowdown.onsetDelay().draw(random)),
                slowdownFactor,
                slowdown.recoveryPerCore().draw(random), Math.round(slowdown.recoveryDelay().draw(random)),
                Math.round(slowdown.maxDuration().draw(random)), kind.coldSpeedShare().draw(random),
                Math.round(kind.warmUpTime().draw(random)), kind.warmBy() == Experiment.WarmBy.REQUESTS,
                experiment.ruleLimits().overloadMultiple(), experiment.ruleLimits().overloadTime(),
                (int) Math.round(connections.maxConnectionsPerCore().draw(random) * kind.cores()),
                connections.slowdownWhenFull().draw(random), connections.handshakeWork().draw(random),
                Math.round(connections.handshakeDelay().draw(random)), spec.probes().probeWork().draw(random),
                Math.round(spec.probes().reportPeriod().draw(random)), spec.probes().reportNoise()
                .draw(random),
                kind.errorRate().draw(random), kind.dropsExpired(), kind.stopsOnCancel());
            int indexInZone = i / zoneCount;
            int cell = indexInZone / spec.cellSize() * zoneCount + i % zoneCount;
            result.add(new Node(i, "s-" + (i + 1), spec.zones().get(i % zoneCount), kind.name(), cell,
                figures));
        }
        return result;
    }

    private static NodeKind kindAt(List<NodeKind> kinds, double shareOffset) {
        double cumulativeShare = 0;
        for (NodeKind kind : kinds) {
            cumulativeShare += kind.share();
            if (shareOffset < cumulativeShare) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static List<Arrival> arrivals(Experiment experiment, long seed, double requestsPerMicro,
        double[] meanWork,
        double[] workVariations) {
        RequestGenerator requests = new RequestGenerator(experiment, seed, meanWork, workVariations);
        List<Arrival> result = new ArrayList<>();
        Clients clients = experiment.clients();
        if (clients.arrivalPattern() == Experiment.ArrivalPattern.TRACE) {
            for (Experiment.TraceEntry entry : clients.trace()) {
                if (entry.sendTime() < experiment.duration()) {
                    result.add(requests.next(result.size(), entry));
                }
            }
            return result;
        }
        RandomGenerator random = RandomStreams.stream(seed, "arrivals");
        double swingAmplitude = clients.swingAmplitude().draw(random);
        double maxRate = requestsPerMicro * maxRelativeRate(clients, swingAmplitude);
        double time = 0;
        while (requestsPerMicro > 0) {
            time += random.nextExponential() / maxRate; // thinned below to the current rate
            if (time >= experiment.duration()) {
                break;
            }
            if (random.nextDouble() * maxRate <= requestsPerMicro * relativeRate(experiment, swingAmplitude,
                (long) time)) {
                result.add(requests.next(result.size(), new Experiment.TraceEntry((long) time, "", -1, "",
                    "")));
            }
        }
        return result;
    }

    private static double maxRelativeRate(Clients clients, double swingAmplitude) {
        return switch (clients.arrivalPattern()) {
            case POISSON, TRACE -> 1;
            case BURSTY -> BURST_RATE;
            case SWING -> 1 + swingAmplitude;
            case STEPS -> clients.stepLoads().stream().mapToDouble(Double::doubleValue).max().orElse(1);
        };
    }

    /** The arrival rate at a time, relative to the mean rate. */
    private static double relativeRate(Experiment experiment, double swingAmplitude, long time) {
        Clients clients = experiment.clients();
        double phase = (double) time / clients.swingPeriod();
        return switch (clients.arrivalPattern()) {
            case POISSON, TRACE -> 1;
            case BURSTY -> phase % 1 < BURST_SHARE ? BURST_RATE
                : (1 - BURST_SHARE * BURST_RATE) / (1 - BURST_SHARE);
            case SWING -> 1 + swingAmplitude * Math.sin(2 * Math.PI * phase);
            case STEPS -> clients.stepLoads().get(Math.min(clients.stepLoads().size() - 1,
                (int) (time * clients.stepLoads().size() / experiment.duration())));
        };
    }

    private static List<Break> drawFaults(Experiment experiment, long seed, List<Node> nodes) {
        List<Break> result = new ArrayList<>();
        int faultNumber = 0;
        for (Fault fault : experiment.faults()) {
            RandomGenerator random = RandomStreams.stream(seed, "fault " + faultNumber++);
            for (int i = 0; i < fault.occurrences(); i++) {
                result.add(new Break(fault.startTime() + i * fault.repeatInterval(), fault.duration(),
                    fault.kind(),
                    drawVictims(experiment, fault, nodes, random), fault.magnitude().draw(random),
                    fault.folderOnRestart(),
                    fault.diskFault(), expandLink(experiment, fault, nodes, random)));
            }
        }
        result.sort(Comparator.comparingLong(Break::at));
        return result;
    }

    private static List<Integer> drawVictims(Experiment experiment, Fault fault, List<Node> nodes,
        RandomGenerator random) {
        if (!fault.kind().targetsNodes() && !fault.kind().targetsProxies()) {
            return List.of();
        }
        List<String> names = fault.kind().targetsNodes() ? nodes.stream().map(Node::name).toList()
            : IntStream.range(0, experiment.proxies().count()).mapToObj(i -> "n" + i).toList();
        List<Integer> result = new ArrayList<>();
        for (String victim : fault.victims()) {
            int index = names.indexOf(victim);
            if (index < 0) {
                throw new SpecException("fault " + fault.kind() + ": no victim is named " + victim
                    + "; there are "
                    + names.get(0) + " to " + names.get(names.size() - 1));
            }
            result.add(index);
        }
        if (!result.isEmpty()) {
            return result;
        }
        List<Integer> candidates = new ArrayList<>(IntStream.range(0, names.size()).boxed().toList());
        int victimCount = Math.min(names.size(),
            Math.max(1, fault.victimCount() > 0 ? fault.victimCount() : (int) Math.round(fault.victimShare()
            * names.size())));
        while (result.size() < victimCount) {
            result.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return result.stream().sorted().toList();
    }

    /**
     * Expands the names of groups in a link fault to single parties, and draws among its {@code from}
     * parties where the file asks for a share or a count of them.
     */
    private static Link expandLink(Experiment experiment, Fault fault, List<Node> nodes,
        RandomGenerator random) {
        if (fault.link() == null) {
            return null;
        }
        List<String> from = expandParties(experiment, fault.link().from(), nodes);
        int maxParties = fault.victimCount() > 0 ? fault.victimCount() : fault.victimShare() > 0
            ? (int) Math.max(1, Math.round(fault.victimShare() * from.size())) : from.size();
        while (from.size() > maxParties) {
            from.remove(random.nextInt(from.size()));
        }
        return new Link(from, expandParties(experiment, fault.link().to(), nodes), fault.link().both(),
            fault.link().passage());
    }

    private static List<String> expandParties(Experiment experiment, List<String> names, List<Node> nodes) {
        int proxyCount = experiment.proxies().count();
        List<String> zones = experiment.nodes().zones();
        Set<String> result = new LinkedHashSet<>();
        for (String name : names) {
            int sizeBefore = result.size();
            for (int i = 0; i < proxyCount; i++) {
                if (name.equals("proxies") || name.equals("n" + i)
                    || name.equals("zone:" + zones.get(i % zones.size()))) {
                    result.add("n" + i);
                }
            }
            for (Node node : nodes) {
                if (name.equals("nodes") || name.equals(node.name()) || name.equals("zone:" + node.zone())) {
                    result.add(node.name());
                }
            }
            if (name.equals("clients") || name.equals("discovery")) {
                result.add(name);
            }
            if (result.size() == sizeBefore) {
                throw new SpecException("fault link: no party is named " + name
                    + "; there are clients, proxies, nodes, discovery, n0, s-1, zone:" + zones.get(0));
            }
        }
        return new ArrayList<>(result);
    }

    private static String hash(List<Node> nodes, double[] meanWork, List<Arrival> arrivals,
        List<Break> faults) {
        MessageDigest digest = RandomStreams.sha256();
        for (double classMean : meanWork) {
            digest.update((classMean + "\n").getBytes(StandardCharsets.UTF_8));
        }
        for (List<?> items : List.of(nodes, arrivals, faults)) {
            for (Object item : items) {
                digest.update((item + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
