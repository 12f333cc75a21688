package dockrelay.lab.spec;

import dockrelay.lab.link.Passage;
import dockrelay.lab.spec.Experiment.Arrivals;
import dockrelay.lab.spec.Experiment.Choke;
import dockrelay.lab.spec.Experiment.Clients;
import dockrelay.lab.spec.Experiment.Connections;
import dockrelay.lab.spec.Experiment.Discovery;
import dockrelay.lab.spec.Experiment.DiskFault;
import dockrelay.lab.spec.Experiment.Idempotency;
import dockrelay.lab.spec.Experiment.Fault;
import dockrelay.lab.spec.Experiment.FaultKind;
import dockrelay.lab.spec.Experiment.FolderOnRestart;
import dockrelay.lab.spec.Experiment.NodeKind;
import dockrelay.lab.spec.Experiment.Link;
import dockrelay.lab.spec.Experiment.Nodes;
import dockrelay.lab.spec.Experiment.Permissions;
import dockrelay.lab.spec.Experiment.Probes;
import dockrelay.lab.spec.Experiment.Proxies;
import dockrelay.lab.spec.Experiment.RuleLimits;
import dockrelay.lab.spec.Experiment.DedupScope;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.spec.Experiment.Spread;
import dockrelay.lab.spec.Experiment.Tenant;
import dockrelay.lab.spec.Experiment.Traced;
import dockrelay.lab.spec.Experiment.WarmBy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads an experiment file. Defaults describe the deployment that the proxy was built for. */
public final class ExperimentReader {
    private static final long MILLI = 1_000, SECOND = 1_000_000, HOUR = 3_600 * SECOND;
    private static final double MANY = 1e6;

    private ExperimentReader() {
    }

    /** Reads a file; throws a SpecException with a one-line message if it is invalid. */
    public static Experiment read(Path file) {
        return read(file, List.of());
    }

    /** Reads a file whose values are overridden by these settings, each of the form key=value. */
    public static Experiment read(Path file, List<String> settings) {
        try {
            Overrides overrides = Overrides.of(settings);
            Experiment result = of(TomlSection.parse(file, Files.readString(file), overrides), file);
            overrides.done();
            return result;
        } catch (NoSuchFileException e) {
            throw new SpecException(file + ": no such file");
        } catch (IOException e) {
            throw new SpecException(file + ": cannot be read: " + e.getMessage());
        }
    }

    private static Experiment of(TomlSection top, Path file) {
        String name = top.readText("name", file.getFileName().toString().replaceFirst("\\.toml$", ""));
        Proxies proxies = proxies(top.readTable("proxies"));
        Experiment result = new Experiment(name, top.readText("shows", null),
            top.readMicros("length", 20 * SECOND, SECOND, HOUR),
            top.readMicros("settle", 0, 0, HOUR), proxies, nodes(top.readTable("nodes")),
            clients(top.readTable("clients"), file), tenants(top.readTables("tenant")), classes(top.readTables("class")),
            discovery(top.readTable("discovery")),
            rules(top.readTable("rules")), permissions(top.readTable("permissions")),
            faults(top.readTables("fault"), proxies.sharedListenSocket()));
        top.rejectUnknownKeys();
        return result;
    }

    private static Proxies proxies(TomlSection s) {
        Proxies result = new Proxies(s.readCount("count", 2, 1, 200),
            s.readBytes("memory", 192 << 20, 64 << 20, 1L << 33),
            s.readCount("descriptors", 1024, 64, 100_000), s.readNumber("cores", 1, 0.05, 1),
            s.readMicros("start_within", 30 * SECOND, SECOND, HOUR), s.readBoolean("shared_socket", false),
            s.readBytes("file_limit", 0, 0, 1L << 40),
            s.readBoolean("pinned", false), s.readTexts("zones"));
        if (result.zones().size() > result.count()) {
            throw s.invalidValue("zones", "at most as many zones as proxies");
        }
        s.rejectUnknownKeys();
        return result;
    }

    private static Nodes nodes(TomlSection s) {
        List<String> zones = s.readTexts("zones");
        List<NodeKind> kinds = new ArrayList<>();
        for (TomlSection k : s.readTables("kind")) {
            kinds.add(kind(k, k.readText("name", null), k.readNumber("share", 1, 0, 1), null, null));
        }
        if (kinds.isEmpty()) {
            kinds.add(kind(null, "fast-node", 0.58, new Range(1.3, 1.7), new Range(14, 38)));
            kinds.add(kind(null, "std-node", 0.42, new Range(0.85, 1.1), new Range(9.4, 22)));
        }
        TomlSection c = s.readTable("choke");
        Choke choke = new Choke(c.readRange("at", new Range(4, 7), 1, MANY),
            c.readMicrosRange("over", new Range(1.5 * SECOND, 2.5 * SECOND), MILLI, HOUR),
            c.readRange("slower", new Range(2, 3.5), 1, 100), c.readRange("below", new Range(0.25, 0.4), 0, MANY),
            c.readMicrosRange("rest", new Range(2.2 * SECOND, 4.6 * SECOND), MILLI, HOUR),
            c.readMicrosRange("most", new Range(16 * SECOND, 34 * SECOND), MILLI, HOUR));
        c.rejectUnknownKeys();
        TomlSection n = s.readTable("connections");
        Connections connections =
            new Connections(n.readMicrosRange("handshake_work", new Range(2.8 * MILLI, 6 * MILLI), 0, SECOND),
            n.readMicrosRange("handshake_delay", new Range(0.4 * MILLI, MILLI), 0, SECOND),
            n.readMicros("idle", 15 * SECOND, 100 * MILLI, HOUR),
            n.readMicros("connect_timeout", 120 * MILLI, MILLI, HOUR),
            n.readRange("cap_per_core", new Range(600, 900), 1, MANY),
            n.readRange("full_tax", new Range(0.18, 0.34), 0, 0.95));
        n.rejectUnknownKeys();
        TomlSection p = s.readTable("probes");
        Probes probes = new Probes(p.readMicrosRange("work", new Range(55, 110), 0, SECOND),
            p.readMicrosRange("period", new Range(64 * MILLI, 320 * MILLI), 0, HOUR),
            p.readRange("noise", new Range(0.045, 0.15), 0, 10));
        p.rejectUnknownKeys();
        Nodes result = new Nodes(s.readCount("count", 8, 1, 1000), zones.isEmpty() ? List.of("dar-dc1") : zones,
            s.readCount("cell_size", 4, 1, 1000), kinds, choke, connections, probes);
        s.rejectUnknownKeys();
        return result;
    }

    private static NodeKind kind(TomlSection given, String name, double share, Range speed, Range queue) {
        TomlSection s = given == null ? empty() : given;
        NodeKind result = new NodeKind(name, share, s.readCount("cores", 1, 1, 256),
            s.readRange("speed", speed == null ? Range.of(1) : speed, 0.01, 100),
            s.readRange("slots_per_core", new Range(8, 24), 1, MANY),
            s.readRange("queue_per_core", queue == null ? new Range(10, 30) : queue, 0, MANY),
            s.readRange("cold_from", new Range(0.3, 0.58), 0.01, 1),
            s.readMicrosRange("cold_time", new Range(3.4 * SECOND, 8.9 * SECOND), 0, HOUR),
            s.readEnum("warm_by", WarmBy.REQUESTS, WarmBy.class),
            s.readRange("error_rate", new Range(0, 0.003), 0, 1),
            s.readBoolean("drops_expired", true), s.readBoolean("stops_on_cancel", true));
        s.rejectUnknownKeys();
        return result;
    }

    private static TomlSection empty() {
        return TomlSection.parse(Path.of("defaults"), "", Overrides.NONE);
    }

    private static List<Tenant> tenants(List<TomlSection> given) {
        List<Tenant> result = new ArrayList<>();
        for (TomlSection s : given) {
            result.add(new Tenant(s.readText("name", null), s.readNumber("share", 1, 0, 1),
                s.readNumber("quota", 0, 0, MANY)));
            s.rejectUnknownKeys();
        }
        return result;
    }

    /**
     * Reads a trace of one request per row: time in seconds, then class, work in ms, tenant and routing
     * key, each of which may be empty or missing.
     */
    private static List<Traced> trace(TomlSection s, Path file) {
        List<Traced> result = new ArrayList<>();
        Path trace = file.resolveSibling(s.readText("trace", null));
        try {
            long before = 0;
            for (String line : Files.readAllLines(trace)) {
                if (line.isBlank() || line.startsWith("#")) {
                    continue;
                }
                String[] cells = (line + ",,,,").split(",", -1);
                long at = Math.round(Double.parseDouble(cells[0].trim()) * SECOND);
                if (at < before) {
                    throw new SpecException(trace + ": " + line + ": times must not decrease");
                }
                before = at;
                result.add(new Traced(at, cells[1].trim(), cells[2].isBlank() ? -1
                    : Double.parseDouble(cells[2].trim()) * MILLI, cells[3].trim(), cells[4].trim()));
            }
        } catch (IOException | NumberFormatException e) {
            throw s.invalidValue("trace", "a file in this folder with rows of seconds,class,work in ms,tenant,key; "
                + e);
        }
        return result;
    }

    private static Clients clients(TomlSection s, Path file) {
        List<Double> steps = new ArrayList<>();
        for (TomlSection step : s.readTables("step")) {
            steps.add(step.readNumber("load", 1, 0, 10));
            step.rejectUnknownKeys();
        }
        Arrivals arrivals = s.readEnum("arrivals", Arrivals.POISSON, Arrivals.class);
        Clients result = new Clients(s.readNumber("load", 0.6, 0, 10), s.readNumber("rate", 0, 0, MANY), arrivals,
            s.readRange("swing", new Range(0.16, 0.37), 0, 1),
            s.readMicros("swing_period", 10 * SECOND, 100 * MILLI, HOUR), steps,
            s.readRange("retries", new Range(0, 1), 0, 10),
            s.readRange("try_share", new Range(0.7, 1), 0.05, 1),
            s.readMicrosRange("backoff", new Range(12 * MILLI, 100 * MILLI), 0, HOUR), s.readNumber("honour", 0.9, 0, 1),
            s.readMicros("max_retry_after", 2 * SECOND, 0, HOUR),
            s.readMicrosRange("notice", new Range(1.3 * SECOND, 3 * SECOND), 0, HOUR),
            s.readCount("keys", 0, 0, 10_000_000), s.readNumber("key_skew", 1, 0, 10),
            arrivals == Arrivals.TRACE ? trace(s, file) : List.of());
        if (result.arrivals() == Arrivals.STEPS && steps.isEmpty()) {
            throw s.invalidValue("arrivals", "steps only together with [[clients.step]]");
        }
        s.rejectUnknownKeys();
        return result;
    }

    private static List<ServiceClass> classes(List<TomlSection> given) {
        List<ServiceClass> result = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlSection s : given) {
            ServiceClass read = new ServiceClass(s.readText("name", null), s.readNumber("share", 1, 0, 1),
                s.readMicrosRange("work", Range.of(50 * MILLI), 1, HOUR), s.readEnum("spread", Spread.EXP, Spread.class),
                s.readRange("cv", Range.of(1), 0, 20), s.readRange("attempt_noise", Range.of(0.2), 0, 5),
                s.readMicros("aim", 250 * MILLI, MILLI, HOUR), s.readMicros("deadline", SECOND, MILLI, HOUR),
                s.readNumber("worth", 1, 0, MANY), s.readNumber("late_worth", 0.25, 0, 1),
                s.readEnum("effect", Idempotency.IDEMPOTENT, Idempotency.class),
                s.readEnum("scope", DedupScope.ALL, DedupScope.class), s.readMicros("window", 0, 0, HOUR));
            if (read.deadline() < read.latencyTarget()) {
                throw s.invalidValue("deadline", "a time of at least the aim, " + Units.time(read.latencyTarget()));
            }
            if (!names.add(read.name())) {
                throw s.invalidValue("name", "a name not used by another class");
            }
            s.rejectUnknownKeys();
            result.add(read);
        }
        if (result.isEmpty()) {
            Range noise = new Range(0.05, 0.55);
            result.add(new ServiceClass("slot-lookup", 0.44, new Range(40 * MILLI, 72 * MILLI), Spread.EXP,
                new Range(0.71, 1.4), noise, 250 * MILLI, SECOND, 5, 0.25, Idempotency.IDEMPOTENT, DedupScope.ALL,
                5 * SECOND));
            result.add(new ServiceClass("slot-booking", 0.39, new Range(52 * MILLI, 94 * MILLI), Spread.EXP,
                new Range(0.76, 1.3), noise, 300 * MILLI, 600 * MILLI, 10, 0.25, Idempotency.DEDUPLICATED,
                DedupScope.ALL, 600 * MILLI));
            result.add(new ServiceClass("consignment-update", 0.17, new Range(58 * MILLI, 100 * MILLI),
                Spread.LOGNORMAL, new Range(0.96, 1.5), noise, 500 * MILLI, 2 * SECOND, 8, 0.2,
                Idempotency.DEDUPLICATED, DedupScope.CELL, 2 * SECOND));
        }
        return result;
    }

    private static Discovery discovery(TomlSection s) {
        Discovery result =
            new Discovery(s.readMicrosRange("notice_death", new Range(0.7 * SECOND, 3.4 * SECOND), 0, HOUR),
            s.readMicrosRange("notice_start", new Range(0.22 * SECOND, 2.5 * SECOND), 0, HOUR),
            s.readMicrosRange("call_cost", new Range(20 * MILLI, 60 * MILLI), 0, HOUR),
            s.readMicrosRange("line_cost", new Range(0.5 * MILLI, 2 * MILLI), 0, HOUR),
            s.readMicros("timeout", SECOND, MILLI, HOUR), s.readMicrosRange("lag", Range.of(0), 0, HOUR));
        s.rejectUnknownKeys();
        return result;
    }

    private static RuleLimits rules(TomlSection s) {
        RuleLimits result = new RuleLimits(s.readMicros("answer_slack", 20 * MILLI, 0, HOUR),
            s.readMicros("ask_within", 10 * SECOND, 0, HOUR), s.readNumber("cold_share", 0.3, 0.01, 1),
            s.readMicros("cold", 8_900 * MILLI, 0, HOUR), s.readMicros("drain_grace", 1_500 * MILLI, 0, HOUR),
            s.readMicros("fall", SECOND, MILLI, HOUR), s.readNumber("fall_multiple", 3, 1, 1000));
        s.rejectUnknownKeys();
        return result;
    }

    private static Permissions permissions(TomlSection s) {
        Permissions result = new Permissions(s.readCount("max_attempts", 6, 1, 100), s.readBoolean("cancel", true),
            s.readBoolean("second_copies", true), s.readBoolean("probes", true), s.readBoolean("peers", false),
            s.readBoolean("retry_after", true), s.readNumber("extra", 0, 0, 100_000));
        s.rejectUnknownKeys();
        return result;
    }

    private static Link link(TomlSection s) {
        Link link = new Link(s.readTexts("from"), s.readTexts("to"), s.readBoolean("both", true), new Passage(
            s.readEnum("mode", Passage.Mode.OPEN, Passage.Mode.class), s.readMicros("delay", 0, 0, HOUR),
            s.readMicros("jitter", 0, 0, HOUR), s.readNumber("loss", 0, 0, 1), s.readNumber("duplicate", 0, 0, 1),
            s.readNumber("reorder", 0, 0, 1)));
        if (link.from().isEmpty() || link.to().isEmpty()) {
            throw s.invalidValue(link.from().isEmpty() ? "from" : "to", "names of parties: clients, proxies, nodes, "
                + "discovery, n0, s-1, zone:a");
        }
        return link;
    }

    private static List<Fault> faults(List<TomlSection> given, boolean sharedSocket) {
        List<Fault> result = new ArrayList<>();
        for (TomlSection s : given) {
            FaultKind kind = s.readEnum("kind", null, FaultKind.class);
            boolean restarts = kind == FaultKind.KILL || kind == FaultKind.TERM;
            Range size = switch (kind) {
                case SLOW -> s.readRange("size", new Range(3.5, 9.7), 1, 1000);
                case FAST_ERRORS -> s.readRange("size", new Range(0.3, 1), 0, 1);
                case NEIGHBOUR -> s.readRange("size", new Range(0.32, 0.73), 0, 0.99);
                default -> Range.of(0);
            };
            Fault fault = new Fault(kind, s.readMicros("at", 5 * SECOND, 0, HOUR),
                s.readMicros("lasts", 5 * SECOND, 0, HOUR),
                s.readNumber("part", 0, 0, 1), s.readCount("count", 0, 0, 1000), s.readTexts("victims"), size,
                s.readMicros("every", 0, 0, HOUR), s.readCount("times", 1, 1, 10_000),
                restarts ? s.readEnum("folder", FolderOnRestart.EMPTY, FolderOnRestart.class) : FolderOnRestart.EMPTY,
                restarts ? s.readEnum("disk", DiskFault.WHOLE, DiskFault.class) : DiskFault.WHOLE,
                kind == FaultKind.LINK ? link(s) : null);
            boolean drawn = fault.part() > 0 || fault.count() > 0;
            if ((kind.targetsNodes() || kind.targetsProxies()) && drawn == !fault.victims().isEmpty()) {
                throw s.invalidValue("kind", "a fault with either victims, or a part or count of them to draw");
            }
            if (kind == FaultKind.UPGRADE && !sharedSocket) {
                throw s.invalidValue("kind", "upgrade only with proxies.shared_socket = true");
            }
            if (fault.times() > 1 && fault.every() <= 0) {
                throw s.invalidValue("every", "a time above 0s if times is above 1");
            }
            s.rejectUnknownKeys();
            result.add(fault);
        }
        return result;
    }
}
