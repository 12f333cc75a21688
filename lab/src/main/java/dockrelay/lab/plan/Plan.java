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
public record Plan(Experiment experiment, long seed, List<Node> nodes, double[] meanWork, double rate,
                   List<Arrival> arrivals, List<Break> faults, String hash) {
    private static final double SECOND = 1_000_000;
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

    public static Plan generate(Experiment experiment, long seed) {
        List<Node> nodes = nodes(experiment, seed);
        double[] means = new double[experiment.classes().size()];
        double[] cvs = new double[means.length];
        RandomGenerator random = RandomStreams.stream(seed, "classes");
        double shares = 0, work = 0;
        for (int i = 0; i < means.length; i++) {
            ServiceClass c = experiment.classes().get(i);
            means[i] = c.work().draw(random);
            cvs[i] = c.cv().draw(random);
            shares += c.share();
            work += c.share() * means[i];
        }
        double capacity = nodes.stream().mapToDouble(node -> node.figures().capacity()).sum();
        Clients clients = experiment.clients();
        double rate = clients.rate() > 0 ? clients.rate() / SECOND
            : clients.load() * capacity / (work / shares);
        List<Arrival> arrivals = arrivals(experiment, seed, rate, means, cvs);
        List<Break> breaks = breaks(experiment, seed, nodes);
        return new Plan(experiment, seed, nodes, means, rate * SECOND, arrivals, breaks,
            hash(nodes, means, arrivals, breaks));
    }

    private static List<Node> nodes(Experiment experiment, long seed) {
        RandomGenerator random = RandomStreams.stream(seed, "nodes");
        Experiment.Nodes spec = experiment.nodes();
        Experiment.Choke choke = spec.choke();
        double shares = spec.kinds().stream().mapToDouble(NodeKind::share).sum();
        List<Node> result = new ArrayList<>();
        int zones = spec.zones().size();
        for (int i = 0; i < spec.count(); i++) {
            // The golden-ratio sequence instead of random draws: even a few nodes match the kinds' shares
            // closely.
            NodeKind kind = kindAt(spec.kinds(), shares * ((i * 0.6180339887498949 + 0.5) % 1));
            double slower = choke.slower().draw(random);
            Experiment.Connections connections = spec.connections();
            Figures figures = new Figures(kind.cores(), kind.speed().draw(random),
                (int) Math.max(1, Math.round(kind.slotsPerCore().draw(random) * kind.cores())),
                (int) Math.round(kind.queuePerCore().draw(random) * kind.cores()),
                choke.at().draw(random), Math.round(choke.over().draw(random)), slower,
                choke.below().draw(random), Math.round(choke.rest().draw(random)),
                Math.round(choke.most().draw(random)), kind.coldFrom().draw(random),
                Math.round(kind.coldTime().draw(random)), kind.warmBy() == Experiment.WarmBy.REQUESTS,
                experiment.ruleLimits().overloadMultiple(), experiment.ruleLimits().overloadTime(),
                (int) Math.round(connections.capPerCore().draw(random) * kind.cores()),
                connections.fullTax().draw(random), connections.handshakeWork().draw(random),
                Math.round(connections.handshakeDelay().draw(random)), spec.probes().work().draw(random),
                Math.round(spec.probes().period().draw(random)), spec.probes().noise().draw(random),
                kind.errorRate().draw(random), kind.dropsExpired(), kind.stopsOnCancel());
            int inZone = i / zones;
            int cell = inZone / spec.cellSize() * zones + i % zones;
            result.add(new Node(i, "s-" + (i + 1), spec.zones().get(i % zones), kind.name(), cell, figures));
        }
        return result;
    }

    private static NodeKind kindAt(List<NodeKind> kinds, double at) {
        double sum = 0;
        for (NodeKind kind : kinds) {
            sum += kind.share();
            if (at < sum) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static List<Arrival> arrivals(Experiment experiment, long seed, double rate, double[] means,
        double[] cvs) {
        Requests requests = new Requests(experiment, seed, means, cvs);
        List<Arrival> result = new ArrayList<>();
        Clients clients = experiment.clients();
        if (clients.arrivals() == Experiment.Arrivals.TRACE) {
            for (Experiment.Traced one : clients.trace()) {
                if (one.at() < experiment.length()) {
                    result.add(requests.next(result.size(), one));
                }
            }
            return result;
        }
        RandomGenerator times = RandomStreams.stream(seed, "arrivals");
        double swing = clients.swing().draw(times);
        double highest = rate * peak(clients, swing);
        double at = 0;
        while (rate > 0) {
            at += times.nextExponential() / highest; // thinned below to the current rate
            if (at >= experiment.length()) {
                break;
            }
            if (times.nextDouble() * highest <= rate * shape(experiment, swing, (long) at)) {
                result.add(requests.next(result.size(), new Experiment.Traced((long) at, "", -1, "", "")));
            }
        }
        return result;
    }

    private static double peak(Clients clients, double swing) {
        return switch (clients.arrivals()) {
            case POISSON, TRACE -> 1;
            case BURSTY -> BURST_RATE;
            case SWING -> 1 + swing;
            case STEPS -> clients.steps().stream().mapToDouble(Double::doubleValue).max().orElse(1);
        };
    }

    /** The arrival rate at a time, relative to the mean rate. */
    private static double shape(Experiment experiment, double swing, long at) {
        Clients clients = experiment.clients();
        double phase = (double) at / clients.swingPeriod();
        return switch (clients.arrivals()) {
            case POISSON, TRACE -> 1;
            case BURSTY -> phase % 1 < BURST_SHARE ? BURST_RATE
                : (1 - BURST_SHARE * BURST_RATE) / (1 - BURST_SHARE);
            case SWING -> 1 + swing * Math.sin(2 * Math.PI * phase);
            case STEPS -> clients.steps().get(Math.min(clients.steps().size() - 1,
                (int) (at * clients.steps().size() / experiment.length())));
        };
    }

    private static List<Break> breaks(Experiment experiment, long seed, List<Node> nodes) {
        List<Break> result = new ArrayList<>();
        int number = 0;
        for (Fault fault : experiment.faults()) {
            RandomGenerator random = RandomStreams.stream(seed, "fault " + number++);
            for (int i = 0; i < fault.times(); i++) {
                result.add(new Break(fault.at() + i * fault.every(), fault.lasts(), fault.kind(),
                    victims(experiment, fault, nodes, random), fault.size().draw(random), fault.folder(),
                    fault.disk(), link(experiment, fault, nodes, random)));
            }
        }
        result.sort(Comparator.comparingLong(Break::at));
        return result;
    }

    private static List<Integer> victims(Experiment experiment, Fault fault, List<Node> nodes,
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
        List<Integer> pool = new ArrayList<>(IntStream.range(0, names.size()).boxed().toList());
        int most = Math.min(names.size(),
            Math.max(1, fault.count() > 0 ? fault.count() : (int) Math.round(fault.part() * names.size())));
        while (result.size() < most) {
            result.add(pool.remove(random.nextInt(pool.size())));
        }
        return result.stream().sorted().toList();
    }

    /**
     * Expands the names of groups in a link fault to single parties, and draws among its {@code from}
     * parties where the file asks for a share or a count of them.
     */
    private static Link link(Experiment experiment, Fault fault, List<Node> nodes, RandomGenerator random) {
        if (fault.link() == null) {
            return null;
        }
        List<String> from = parties(experiment, fault.link().from(), nodes);
        int most = fault.count() > 0 ? fault.count() : fault.part() > 0
            ? (int) Math.max(1, Math.round(fault.part() * from.size())) : from.size();
        while (from.size() > most) {
            from.remove(random.nextInt(from.size()));
        }
        return new Link(from, parties(experiment, fault.link().to(), nodes), fault.link().both(),
            fault.link().passage());
    }

    private static List<String> parties(Experiment experiment, List<String> names, List<Node> nodes) {
        int proxies = experiment.proxies().count();
        List<String> zones = experiment.nodes().zones();
        Set<String> result = new LinkedHashSet<>();
        for (String name : names) {
            int before = result.size();
            for (int i = 0; i < proxies; i++) {
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
            if (result.size() == before) {
                throw new SpecException("fault link: no party is named " + name
                    + "; there are clients, proxies, nodes, discovery, n0, s-1, zone:" + zones.get(0));
            }
        }
        return new ArrayList<>(result);
    }

    private static String hash(List<Node> nodes, double[] means, List<Arrival> arrivals, List<Break> breaks) {
        MessageDigest digest = RandomStreams.sha256();
        for (double mean : means) {
            digest.update((mean + "\n").getBytes(StandardCharsets.UTF_8));
        }
        for (List<?> part : List.of(nodes, arrivals, breaks)) {
            for (Object item : part) {
                digest.update((item + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
